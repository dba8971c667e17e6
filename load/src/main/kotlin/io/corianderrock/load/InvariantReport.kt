/*
 * Compares what callers were told with what upstreams recorded.
 */
package io.corianderrock.load

import io.corianderrock.protocol.contract.RequestOutcome
import io.corianderrock.standins.upstream.Execution
import kotlinx.serialization.Serializable

/** Counts of broken promises; all are 0 in a correct run. */
@Serializable
public data class InvariantReport(
    val requests: Int,
    val ran: Int,
    val notRun: Int,
    val unknown: Int,
    val unanswered: Int,
    val executions: Int,
    val lost: Int,
    val doubled: Int,
    val crossed: Int,
    val falselyNotRun: Int,
) {
    /** True when no promise was broken. */
    val isClean: Boolean get() = lost + doubled + crossed + falselyNotRun == 0
}

/**
 * Checks [results] against [executions]. [mayRunTwice] tells which work is idempotent. Lost means told "ran" without an
 * execution, doubled that work which is not idempotent ran twice, crossed that an answer belonged to another request.
 */
public fun checkInvariants(
    results: List<CallResult>,
    executions: List<Execution>,
    mayRunTwice: (WorkProfile) -> Boolean,
): InvariantReport {
    val runs = executions.groupingBy { it.work }.eachCount()
    val byWork = results.groupBy { it.item.work }
    val singles = byWork.values.map { it.first().item }.filterNot { mayRunTwice(it.profile) }
    val successes = results.filter { it.outcome == RequestOutcome.RAN }
    return InvariantReport(
        requests = results.size,
        ran = successes.size,
        notRun = results.count { it.outcome == RequestOutcome.NOT_RUN },
        unknown = results.count { it.outcome == RequestOutcome.UNKNOWN },
        unanswered = results.count { it.outcome == null },
        executions = executions.size,
        lost = successes.count { (runs[it.item.work] ?: 0) == 0 },
        doubled = singles.count { (runs[it.work] ?: 0) > 1 },
        crossed = successes.count { it.status == OK && !it.isOwnAnswer },
        falselyNotRun = byWork.values.count { isFalselyNotRun(it, runs) },
    )
}

/** "Not run" is false when the work ran although no send of it was answered otherwise. */
private fun isFalselyNotRun(
    sends: List<CallResult>,
    runs: Map<String, Int>,
): Boolean {
    val isRefusedOnly = sends.all { it.outcome == RequestOutcome.NOT_RUN }
    return isRefusedOnly && (runs[sends.first().item.work] ?: 0) > 0
}

private const val OK = 200
