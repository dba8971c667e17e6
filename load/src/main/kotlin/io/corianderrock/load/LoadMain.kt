/*
 * Entry point of the experiment tool.
 */
package io.corianderrock.load

import io.corianderrock.load.experiment.ClaimCost
import io.corianderrock.load.experiment.ControlPlaneScaling
import io.corianderrock.load.experiment.Experiment
import io.corianderrock.load.experiment.ExperimentReport
import io.corianderrock.load.experiment.HeadOfLine
import io.corianderrock.load.experiment.Outage
import io.corianderrock.load.experiment.Overload
import io.corianderrock.load.experiment.ReportWriter
import io.corianderrock.load.experiment.describeHost
import io.corianderrock.transport.parseArguments
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.File
import kotlin.system.exitProcess

/** Command line arguments of the experiment tool. */
internal class LoadArguments {
    @Argument(metaVar = "EXPERIMENT", usage = "names of the experiments to run; all by default")
    var names: List<String> = ArrayList()

    @Option(name = "--seed", usage = "random seed of arrival times and run times")
    var seed: Long = 1

    @Option(name = "--out", usage = "directory to write the reports to")
    var out: File = File("run/reports")

    @Option(name = "--list", usage = "list the experiments and exit")
    var list: Boolean = false
}

private val EXPERIMENTS: List<Experiment> = listOf(HeadOfLine(), Overload(), Outage(), ClaimCost(), ControlPlaneScaling())

/**
 * Runs the experiments, writes their reports and prints their targets. Exits with 1 when a target was missed, and with 2 for an
 * unknown experiment.
 */
public fun main(args: Array<String>) {
    val arguments = parseArguments(LoadArguments(), args) ?: exitProcess(2)
    if (arguments.list) {
        EXPERIMENTS.forEach { println("%-14s %s".format(it.name, it.summary)) }
        return
    }
    val unknown = arguments.names - EXPERIMENTS.map { it.name }.toSet()
    if (unknown.isNotEmpty()) {
        System.err.println("unknown experiments ${unknown.joinToString()}; available experiments: ${EXPERIMENTS.joinToString { it.name }}")
        exitProcess(2)
    }
    val chosen = EXPERIMENTS.filter { arguments.names.isEmpty() || it.name in arguments.names }
    val isMet = chosen.map { runExperiment(it, arguments) }.all { it }
    exitProcess(if (isMet) 0 else 1)
}

private fun runExperiment(
    experiment: Experiment,
    arguments: LoadArguments,
): Boolean {
    val findings = experiment.run(arguments.seed)
    val report =
        ExperimentReport(
            experiment = experiment.name,
            command = "bin/experiment ${experiment.name} --seed ${arguments.seed}",
            seed = arguments.seed,
            machine = describeHost(),
            variants = findings.variants,
            targets = findings.targets,
        )
    val htmlFile = ReportWriter(arguments.out).write(report)
    println("${experiment.name}: report in ${htmlFile.path}")
    findings.targets.forEach {
        println(
            "  %-60s %-16s %10.3f  %s".format(it.name, it.target, it.measured, if (it.isMet) "met" else "MISSED"),
        )
    }
    return findings.targets.all { it.isMet }
}
