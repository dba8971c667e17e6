/*
 * Settles transactions whose answer was lost, by the marker row that every transaction writes.
 */
package io.corianderrock.coordination

import io.corianderrock.coordination.PlatformResult.Conflict
import io.corianderrock.coordination.PlatformResult.Failed
import io.corianderrock.coordination.PlatformResult.Ok

/**
 * Commits [transaction] exactly once or reports why not. After a failure that may have applied, the marker row is read:
 * present means committed. The transaction is submitted again, with the same id, at most [attempts] times in total.
 */
public fun TableService.transactExactlyOnce(
    transaction: Transaction,
    attempts: Int = MAX_ATTEMPTS_PER_TRANSACTION,
): PlatformResult<Long> {
    val guarded = transaction.withMarker()
    var last: PlatformResult<Long> = Failed("transact", "platform", "no attempt made", mayHaveApplied = false)
    var mayHaveApplied = false
    repeat(attempts) {
        last = transact(guarded)
        when (val result = last) {
            is Ok -> return result
            is Conflict -> return resolveConflict(transaction, result)
            is Failed -> mayHaveApplied = mayHaveApplied || result.mayHaveApplied
        }
        if (mayHaveApplied) {
            committedRevision(transaction.id)?.let { return Ok(it) }
        }
    }
    val failed = last as? Failed ?: return last
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
