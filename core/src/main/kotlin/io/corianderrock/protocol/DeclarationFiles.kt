/*
 * Loads declarations from TOML files and checks the whole set together.
 */
package io.corianderrock.protocol

import io.corianderrock.protocol.toml.Checked
import io.corianderrock.protocol.toml.LocatedValue
import io.corianderrock.protocol.toml.Problem
import io.corianderrock.protocol.toml.decodeToml
import io.corianderrock.state.Declarations

/** One file of declarations, as read. */
public data class DeclarationFile(
    val name: String,
    val text: String,
)

/** Decodes and checks [files] as one set. Every problem of every file is returned at once. */
public fun loadDeclarations(files: List<DeclarationFile>): Checked<Declarations> {
    val results = files.map { it.name to decodeToml(Declarations.serializer(), it.name, it.text) }
    val problems = results.flatMap { (_, result) -> (result as? Checked.Invalid)?.problems.orEmpty() }
    if (problems.isNotEmpty()) return Checked.Invalid(problems)
    val parts = results.mapNotNull { (name, result) -> (result as? Checked.Valid)?.let { name to it.value } }
    val merged = merge(parts.map { it.second.value })
    val findings = DeclarationCheck(SourceMap(parts)).check(merged)
    return if (findings.isEmpty()) Checked.Valid(merged) else Checked.Invalid(findings)
}

/** Checks a decoded set, for example one that was submitted over the network; problems carry object names only. */
public fun checkDeclarations(declarations: Declarations): List<Problem> = DeclarationCheck(SourceMap(emptyList())).check(declarations)

private fun merge(parts: List<Declarations>): Declarations =
    Declarations(
        pools = parts.flatMap { it.pools },
        services = parts.flatMap { it.services },
        teams = parts.flatMap { it.teams },
        budgets = parts.flatMap { it.budgets },
        waves = parts.flatMap { it.waves },
    )

/** Finds the file and line of a declared object. */
internal class SourceMap(
    parts: List<Pair<String, LocatedValue<Declarations>>>,
) {
    /** A place in a file; the line is 0 when it is not known. */
    data class Place(
        val file: String,
        val line: Int,
    )

    private val places = HashMap<String, MutableList<Place>>()

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

    /** Returns where occurrence [index] of the object [kind] [name] stands. */
    fun placeOf(
        kind: String,
        name: String,
        index: Int = 0,
    ): Place = places["$kind/$name"]?.getOrNull(index) ?: Place("(submitted set)", 0)

    private fun record(
        file: String,
        located: LocatedValue<Declarations>,
        kind: String,
        names: List<String>,
    ) {
        names.forEachIndexed { index, name ->
            places.getOrPut("$kind/$name") { ArrayList() }.add(Place(file, located.lineOf("$kind[$index]")))
        }
    }
}
