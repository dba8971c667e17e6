/*
 * Reads the declaration files given on the command line.
 */
package io.corianderrock.cli

import io.corianderrock.protocol.DeclarationFile
import io.corianderrock.protocol.loadDeclarations
import io.corianderrock.protocol.toml.Problem
import io.corianderrock.protocol.toml.Validated
import io.corianderrock.state.Declarations
import java.io.File
import java.io.IOException

/** Loads the files at [paths]; a directory stands for the `.toml` files directly in it. */
internal fun readDeclarations(paths: List<String>): Validated<Declarations> {
    val files = paths.flatMap { tomlFiles(File(it)) }
    if (files.isEmpty()) {
        return Validated.Invalid(
            listOf(Problem(paths.joinToString(), 0, "(files)", "no .toml file", "give a TOML file or a directory that contains one")),
        )
    }
    val declarationFiles = ArrayList<DeclarationFile>()
    val problems = ArrayList<Problem>()
    for (file in files) {
        try {
            declarationFiles += DeclarationFile(file.path, file.readText())
        } catch (e: IOException) {
            problems += Problem(file.path, 0, "(file)", "unreadable: ${e.message}", "give a readable TOML file")
        }
    }
    return if (problems.isEmpty()) loadDeclarations(declarationFiles) else Validated.Invalid(problems)
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
