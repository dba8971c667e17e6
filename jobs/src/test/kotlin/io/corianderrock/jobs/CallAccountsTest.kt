/*
 * Covers which account a call belongs to: guards against calls that run without a valid key (ROUTE) and against keys that are
 * refused although they are valid. The fuzz is seeded; `-Dheader.fuzz.inputs` sets its inputs.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.accounts.CallAccounts
import io.corianderrock.jobs.accounts.CallDecision
import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.accounts.KeyRefusal
import io.corianderrock.jobs.accounts.keyDigest
import io.corianderrock.jobs.state.ClientAccount
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private val FUZZ_INPUTS = Integer.getInteger("header.fuzz.inputs", 20_000)
private const val KEY = "pqk8Zr"
private const val SHARED_KEY = "shared"

private fun account(
    name: String,
    vararg keys: String,
): Pair<String, ClientAccount> = name to ClientAccount(name, keyDigests = keys.mapTo(HashSet(), ::keyDigest))

internal class CallAccountsTest :
    DescribeSpec({
        val calls = CallAccounts(mapOf(account("one", KEY, SHARED_KEY), account("two", "x6pw", SHARED_KEY), account("none")))

        fun decide(vararg headers: String?) = calls.decide(isPublic = false, headers.toList())

        describe("a call that needs a key") {
            it("belongs to the account of its key, whatever the case of the scheme") {
                for (scheme in listOf("Bearer", "bearer", "BEARER", "bEaReR")) {
                    decide("$scheme $KEY") shouldBe CallDecision.Admitted(JobAccess("one"))
                }
                decide("Bearer   x6pw ") shouldBe CallDecision.Admitted(JobAccess("two"))
            }
            it("is refused with the cause") {
                val causes =
                    mapOf(
                        listOf<String?>() to KeyRefusal.MISSING,
                        listOf("") to KeyRefusal.MISSING,
                        listOf<String?>(null) to KeyRefusal.MISSING,
                        listOf("Bearer $KEY", "Bearer $KEY") to KeyRefusal.DUPLICATED,
                        listOf(KEY) to KeyRefusal.MALFORMED,
                        listOf("Bearer") to KeyRefusal.MALFORMED,
                        listOf("Bearer ") to KeyRefusal.MALFORMED,
                        listOf("Bearer$KEY") to KeyRefusal.MALFORMED,
                        listOf("Bearer\t$KEY") to KeyRefusal.MALFORMED,
                        listOf("Basic $KEY") to KeyRefusal.MALFORMED,
                        listOf("Bearer \u0100$KEY") to KeyRefusal.MALFORMED,
                        listOf("Bearer ${KEY.lowercase()}") to KeyRefusal.UNKNOWN,
                        listOf("Bearer $KEY, Bearer $KEY") to KeyRefusal.UNKNOWN,
                        listOf("Bearer ${keyDigest(KEY)}") to KeyRefusal.UNKNOWN,
                        listOf("Bearer $SHARED_KEY") to KeyRefusal.AMBIGUOUS,
                    )
                for ((headers, cause) in causes) decide(*headers.toTypedArray()) shouldBe CallDecision.Unauthorized(cause)
            }
            it("is refused where accounts are configured but empty, and needs no key where none are configured") {
                CallAccounts(emptyMap()).decide(false, listOf("Bearer $KEY")) shouldBe CallDecision.Unauthorized(KeyRefusal.UNKNOWN)
                CallAccounts(null).decide(false, emptyList()) shouldBe CallDecision.Admitted(JobAccess.ALL)
            }
            it("is admitted with a key outside ASCII, whose UTF-8 bytes the server passes as characters") {
                val key = "clé"
                val header = "Bearer " + String(key.toByteArray(), Charsets.ISO_8859_1)
                CallAccounts(mapOf(account("one", key))).decide(false, listOf(header)) shouldBe CallDecision.Admitted(JobAccess("one"))
            }
            it("is held back while keys cannot be trusted, unless its route is public") {
                calls.decide(false, listOf("Bearer $KEY"), mayTrustKeys = false) shouldBe CallDecision.Unconfirmed
                calls.decide(true, emptyList(), mayTrustKeys = false) shouldBe CallDecision.Admitted(JobAccess.PUBLIC)
            }
            it("is never admitted by a digest that is not one") {
                val odd = ClientAccount("odd", keyDigests = setOf("", "zz", keyDigest(KEY).drop(2), keyDigest(KEY) + "00"))
                CallAccounts(mapOf("odd" to odd)).decide(false, listOf("Bearer $KEY")) shouldBe
                    CallDecision.Unauthorized(KeyRefusal.UNKNOWN)
            }
        }
        describe("a key that two accounts hold") {
            it("is reported by the names of the accounts") {
                calls.conflicts shouldContainExactly setOf(listOf("one", "two"))
            }
        }
        describe("a mutated header") {
            it("is admitted only if it is the scheme, spaces and the whole key") {
                val random = Random(7)
                val valid = Regex("[ \t]*(?i:bearer) +(pqk8Zr|x6pw)[ \t]*")
                var admittedCount = 0
                repeat(FUZZ_INPUTS) {
                    val header = mutate("Bearer $KEY", random)
                    val isAdmitted = decide(header) is CallDecision.Admitted
                    isAdmitted shouldBe valid.matches(header)
                    if (isAdmitted) admittedCount++
                }
                admittedCount shouldBeGreaterThan 0
            }
        }
        describe("access to a job") {
            it("is given to its account, and to all for a job without one") {
                JobAccess("one").permits("one") shouldBe true
                JobAccess("one").permits(null) shouldBe true
                JobAccess("one").permits("two") shouldBe false
                JobAccess.PUBLIC.permits("one") shouldBe false
                JobAccess.PUBLIC.permits(null) shouldBe true
                JobAccess.ALL.permits("one") shouldBe true
            }
        }
    })

private val SNIPPETS = listOf(" ", "\t", "bearer", "B", KEY, "x6pw", "\u0000", "\u00ff", "\ud800", "?", ",", "\"", "é")

private fun mutate(
    header: String,
    random: Random,
): String {
    var text = header
    repeat(random.nextInt(1, 4)) {
        val at = random.nextInt(text.length + 1)
        val end = minOf(text.length, at + random.nextInt(4))
        text =
            when (random.nextInt(3)) {
                0 -> text.substring(0, at) + SNIPPETS.random(random) + text.substring(at)
                1 -> text.removeRange(at, end)
                else -> text.substring(0, at) + text.substring(at, end).uppercase() + text.substring(end)
            }
    }
    return text
}
