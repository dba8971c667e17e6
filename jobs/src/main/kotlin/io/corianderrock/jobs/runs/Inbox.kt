/*
 * Rows in which an entry that cannot reach the scheduler leaves word of a job that it has stored or cancelled.
 */
package io.corianderrock.jobs.runs

/** The values of inbox rows; the key is the job's id. */
internal object Inbox {
    const val SUBMITTED: String = "submitted"
    const val CANCEL: String = "cancel"
}
