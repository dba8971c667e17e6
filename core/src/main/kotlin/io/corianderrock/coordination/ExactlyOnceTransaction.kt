/*
 * Commits transactions exactly once, although answers may be lost, by a marker row that each transaction writes.
 */
package io.corianderrock.coordination

import io.corianderrock.coordination.PlatformResult.Conflict
import io.corianderrock.coordination.PlatformResult.Failed
import io.corianderrock.coordination.PlatformResult.Ok

/**
 * Commits [transaction] exactly once and returns its revision, or reports why it did not. After a failure that may have
 * applied, the marker row is read: if it exists, the transaction has committed. Otherwise it is retried with the same id, up to
 * [attempts] attempts in total. The result is [Failed] with `mayHaveApplied` if the outcome is still unknown.
 */
public fun TableService.transactExactlyOnce(
    transaction: Transaction,
    attempts: Int = MAX_ATTEMPTS_PER_TRANSACTION,
): PlatformResult<Long> {
    val marked = transaction.withMarker()
    var lastResult: PlatformResult<Long> = Failed("transact", "platform", "no attempt made", mayHaveApplied = false)
    var mayHaveApplied = false
    repeat(attempts) {
        lastResult = transact(marked)
        when (val result = lastResult) {
            is Ok -> return result
            is Conflict -> return resolveConflict(transaction, result)
            is Failed -> mayHaveApplied = mayHaveApplied || result.mayHaveApplied
        }
        if (mayHaveApplied) {
            committedRevision(transaction.id)?.let { return Ok(it) }
        }
    }
    val failed = lastResult as? Failed ?: return lastResult
    return failed.copy(mayHaveApplied = mayHaveApplied)
}

private const val MAX_ATTEMPTS_PER_TRANSACTION = 3

private fun Transaction.withMarker(): Transaction =
    copy(
        preconditions = preconditions + Precondition(markerKey(id), revision = 0),
        writes = writes + Write(markerKey(id), note),
    )

private fun TableService.resolveConflict(
    transaction: Transaction,
    conflict: Conflict,
): PlatformResult<Long> =
    when (val marker = read(markerKey(transaction.id))) {
        is Ok -> marker.value?.let { Ok(it.revision) } ?: conflict
        is Conflict -> conflict
        is Failed -> marker.copy(step = "settle", mayHaveApplied = true)
    }

private fun TableService.committedRevision(id: String): Long? = read(markerKey(id)).valueOrNull()?.revision
