package io.corianderrock.protocol

import io.corianderrock.protocol.toml.Problem
import io.corianderrock.protocol.toml.Validated
import io.corianderrock.state.Declarations
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.io.File

private val POOL =
    """
    [[pool]]
    name = "tally"
    workersPerDataCentre = 8
    """.trimIndent()

private val SERVICE =
    """
    [[service]]
    name = "tally"
    pool = "tally"
    pathPrefix = "/tally"
    """.trimIndent()

private fun load(vararg texts: String): Validated<Declarations> =
    loadDeclarations(texts.mapIndexed { index, text -> DeclarationFile("file$index.toml", text) })

private fun problems(vararg texts: String): List<Problem> = load(*texts).shouldBeInstanceOf<Validated.Invalid>().problems

class DeclarationFilesTest :
    DescribeSpec({
        describe("a valid set in two files") {
            it("is merged") {
                val value = load(POOL, SERVICE).shouldBeInstanceOf<Validated.Valid<Declarations>>().value
                value.pools.map { it.name } shouldBe listOf("tally")
                value.services.map { it.name } shouldBe listOf("tally")
            }
        }

        describe("an invalid set") {
            it("reports unknown keys, wrong types and missing keys together, with their lines") {
                val found = problems("[[pool]]\nname = 7\nworkersPerDatacentre = 8\n")
                found.map { it.key to it.line } shouldBe
                    listOf("pool[0].name" to 2, "pool[0].workersPerDatacentre" to 3, "pool[0]" to 1)
            }

            it("reports a reference to an undeclared pool with the declared names") {
                val found = problems(POOL, SERVICE.replace("pool = \"tally\"", "pool = \"taly\""))
                found.single().toString() shouldBe
                    "file1.toml:1: service \"tally\" pool: found \"taly\", which is not a declared pool; name one of tally"
            }

            it("reports every violated rule") {
                val budget = "[[budget]]\nname = \"b\"\npool = \"tally\"\nmaxUnavailable = 8\nmaxUnavailablePerDataCentre = 8\n"
                val wave = "[[wave]]\nname = \"w\"\npools = [\"nowhere\"]\n"
                val keys = problems(POOL, SERVICE, SERVICE, budget, wave).map { it.key }
                keys shouldContain "service \"tally\" name"
                keys shouldContain "service \"tally\" pathPrefix"
                keys shouldContain "budget \"b\" maxUnavailablePerDataCentre"
                keys shouldContain "wave \"w\" pools"
            }

            it("reports a syntax error as a single problem") {
                problems("[[pool]\nname = ").single().key shouldBe "(syntax)"
            }
        }

        describe("the example declarations") {
            for (user in listOf("qurum", "nilebright")) {
                it("$user is valid") {
                    val files = checkNotNull(File("../examples/$user/declarations").listFiles()).sorted()
                    val loaded = loadDeclarations(files.map { DeclarationFile(it.name, it.readText()) })
                    val value = loaded.shouldBeInstanceOf<Validated.Valid<Declarations>>().value
                    value.services.size shouldBe 5
                    value.pools.sumOf { it.workersPerDataCentre } shouldBe 40
                }
            }
        }
    })
