/*
 * Compares the responses that callers received with the executions that the upstreams recorded.
 */
package io.corianderrock.load

import io.corianderrock.protocol.contract.RequestOutcome
import io.corianderrock.standins.upstream.Execution
import kotlinx.serialization.Serializable

/**
 * Result of the check. [requests] to [unanswered] count requests by outcome, with [unanswered] for those without a
 * response of the contract. The violations are [lost], [doubled], [crossed] and [falselyNotRun]; all four are 0 in a
 * correct run.
 */
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
    /** True when there are no violations. */
    val isClean: Boolean get() = lost + doubled + crossed + falselyNotRun == 0
}

/**
 * Checks [results] against [executions]:
 * - lost: a request was reported as `ran`, but no execution is recorded;
 * - doubled: work that is not idempotent according to [isIdempotent] was executed more than once;
 * - crossed: a response with status 200 belongs to a different request;
 * - falsely not-run: work was reported as `not-run` by every response, but an execution is recorded.
 */
public fun checkInvariants(
    results: List<CallResult>,
    executions: List<Execution>,
    isIdempotent: (WorkProfile) -> Boolean,
): InvariantReport {
    val executionCounts = executions.groupingBy { it.workId }.eachCount()
    val resultsByWork = results.groupBy { it.item.workId }
    val nonIdempotentItems = resultsByWork.values.map { it.first().item }.filterNot { isIdempotent(it.profile) }
    val successes = results.filter { it.outcome == RequestOutcome.RAN }
    return InvariantReport(
        requests = results.size,
        ran = successes.size,
        notRun = results.count { it.outcome == RequestOutcome.NOT_RUN },
        unknown = results.count { it.outcome == RequestOutcome.UNKNOWN },
        unanswered = results.count { it.outcome == null },
        executions = executions.size,
        lost = successes.count { (executionCounts[it.item.workId] ?: 0) == 0 },
        doubled = nonIdempotentItems.count { (executionCounts[it.workId] ?: 0) > 1 },
        crossed = successes.count { it.status == OK && !it.isOwnResponse },
        falselyNotRun = resultsByWork.values.count { isFalselyNotRun(it, executionCounts) },
    )
}

/** [workResults] are the results of the first send and of the retries of one piece of work. */
private fun isFalselyNotRun(
    workResults: List<CallResult>,
    executionCounts: Map<String, Int>,
): Boolean {
    val isReportedNotRun = workResults.all { it.outcome == RequestOutcome.NOT_RUN }
    return isReportedNotRun && (executionCounts[workResults.first().item.workId] ?: 0) > 0
}

private const val OK = 200
