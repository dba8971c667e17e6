/*
 * Rows in which an entry that cannot reach the scheduler leaves word of a job that it has stored or cancelled. The two
 * have keys of their own, so that taking one does not take the other.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table

/** A note about the job [jobId]. */
internal data class InboxNote(
    val jobId: String,
    val isCancel: Boolean,
) {
    val key: RowKey get() = RowKey(Table.INBOX, if (isCancel) jobId + CANCEL_SUFFIX else jobId)

    companion object {
        private const val CANCEL_SUFFIX = "/cancel"

        fun of(key: RowKey): InboxNote = InboxNote(key.key.removeSuffix(CANCEL_SUFFIX), key.key.endsWith(CANCEL_SUFFIX))
    }
}
