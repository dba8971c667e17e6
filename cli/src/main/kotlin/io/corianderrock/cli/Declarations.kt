/*
 * Reads the declarations named on the command line.
 */
package io.corianderrock.cli

import io.corianderrock.protocol.DeclarationFile
import io.corianderrock.protocol.loadDeclarations
import io.corianderrock.protocol.toml.Problem
import io.corianderrock.protocol.toml.Validated
import io.corianderrock.state.Declarations
import java.io.File
import java.io.IOException

/** Loads all `.toml` files at [paths]; a directory stands for the files in it. */
internal fun readDeclarations(paths: List<String>): Validated<Declarations> {
    val files = paths.flatMap { tomlFiles(File(it)) }
    if (files.isEmpty()) {
        return Validated.Invalid(
            listOf(Problem(paths.joinToString(), 0, "(files)", "no .toml file", "name a file or a directory with one")),
        )
    }
    val texts = ArrayList<DeclarationFile>()
    val problems = ArrayList<Problem>()
    for (file in files) {
        try {
            texts += DeclarationFile(file.path, file.readText())
        } catch (e: IOException) {
            problems += Problem(file.path, 0, "(file)", "unreadable: ${e.message}", "name a readable TOML file")
        }
    }
    return if (problems.isEmpty()) loadDeclarations(texts) else Validated.Invalid(problems)
}

private fun tomlFiles(path: File): List<File> =
    if (path.isDirectory) {
        path
            .listFiles()
            .orEmpty()
            .filter { it.extension == "toml" }
            .sorted()
    } else {
        listOf(path)
    }
