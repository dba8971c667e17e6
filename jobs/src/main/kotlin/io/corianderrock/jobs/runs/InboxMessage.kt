/*
 * Rows by which an entry that cannot reach the scheduler tells it of a job that was submitted or cancelled. The two kinds
 * have different keys, so that deleting one row does not delete the other.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table

/** Tells the scheduler that the job [jobId] was stored, or is to be cancelled if [isCancel]. */
internal data class InboxMessage(
    val jobId: String,
    val isCancel: Boolean,
) {
    val key: RowKey get() = RowKey(Table.INBOX, if (isCancel) jobId + CANCEL_SUFFIX else jobId)

    companion object {
        private const val CANCEL_SUFFIX = "/cancel"

        fun of(key: RowKey): InboxMessage = InboxMessage(key.key.removeSuffix(CANCEL_SUFFIX), key.key.endsWith(CANCEL_SUFFIX))
    }
}
