/*
 * Loads declarations from TOML files and validates them as one set.
 */
package io.corianderrock.protocol

import io.corianderrock.protocol.toml.LocatedValue
import io.corianderrock.protocol.toml.Problem
import io.corianderrock.protocol.toml.Validated
import io.corianderrock.protocol.toml.decodeToml
import io.corianderrock.state.Declarations

/** The content of one declaration file. */
public data class DeclarationFile(
    val name: String,
    val text: String,
)

/**
 * Decodes [files] and validates them as one set. Reports the problems of all files together: first those of decoding,
 * and those of validation only if every file could be decoded.
 */
public fun loadDeclarations(files: List<DeclarationFile>): Validated<Declarations> {
    val results = files.map { it.name to decodeToml(Declarations.serializer(), it.name, it.text) }
    val problems = results.flatMap { (_, result) -> (result as? Validated.Invalid)?.problems.orEmpty() }
    if (problems.isNotEmpty()) return Validated.Invalid(problems)
    val parts = results.mapNotNull { (name, result) -> (result as? Validated.Valid)?.let { name to it.value } }
    val merged = merge(parts.map { it.second.value })
    val violations = DeclarationValidator(DeclarationLocations(parts)).validate(merged)
    return if (violations.isEmpty()) Validated.Valid(merged) else Validated.Invalid(violations)
}

/** Validates a set that was not loaded from files, such as a submitted one; its problems have no file and line. */
public fun validateDeclarations(declarations: Declarations): List<Problem> =
    DeclarationValidator(DeclarationLocations(emptyList())).validate(declarations)

private fun merge(parts: List<Declarations>): Declarations =
    Declarations(
        pools = parts.flatMap { it.pools },
        services = parts.flatMap { it.services },
        teams = parts.flatMap { it.teams },
        budgets = parts.flatMap { it.budgets },
        waves = parts.flatMap { it.waves },
    )

/** The locations of declared objects, by kind and name. */
internal class DeclarationLocations(
    parts: List<Pair<String, LocatedValue<Declarations>>>,
) {
    /** A line of a file; [line] is 0 if it is not known. */
    data class Location(
        val file: String,
        val line: Int,
    )

    private val locations = HashMap<String, MutableList<Location>>()

    init {
        for ((file, located) in parts) {
            val value = located.value
            record(file, located, "pool", value.pools.map { it.name })
            record(file, located, "service", value.services.map { it.name })
            record(file, located, "team", value.teams.map { it.name })
            record(file, located, "budget", value.budgets.map { it.name })
            record(file, located, "wave", value.waves.map { it.name })
        }
    }

    /**
     * Returns the location of occurrence [index] of the object of [kind] called [name]. An index above 0 occurs only
     * for duplicate names.
     */
    fun locationOf(
        kind: String,
        name: String,
        index: Int = 0,
    ): Location = locations["$kind/$name"]?.getOrNull(index) ?: Location("(submitted set)", 0)

    private fun record(
        file: String,
        located: LocatedValue<Declarations>,
        kind: String,
        names: List<String>,
    ) {
        names.forEachIndexed { index, name ->
            locations.getOrPut("$kind/$name") { ArrayList() }.add(Location(file, located.lineOf("$kind[$index]")))
        }
    }
}
