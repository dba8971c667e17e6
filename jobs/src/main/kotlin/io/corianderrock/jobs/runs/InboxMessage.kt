/*
 * Rows by which an entry that cannot reach the scheduler tells it of a job that was submitted or cancelled. The kinds have different keys,
 * so that deleting one row does not delete another.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.StoredRow
import io.corianderrock.jobs.ports.Table
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Tells the scheduler that the job [jobId] was stored, or is to be cancelled if [isCancel]. [access] restricts a cancellation of a job that
 * was not known to the entry, which could not check its account; all others have been checked.
 */
internal data class InboxMessage(
    val jobId: String,
    val isCancel: Boolean,
    val access: JobAccess = JobAccess.ALL,
) {
    /**
     * Cancellations with different rights have different keys, as they may concern different submissions of one id. The name of an account
     * may be longer than a key.
     */
    val key: RowKey
        get() =
            RowKey(
                Table.INBOX,
                when {
                    !isCancel -> jobId
                    access == JobAccess.ALL -> jobId + CANCEL_SUFFIX
                    else -> "$jobId$CANCEL_SUFFIX/${digestOf(access)}"
                },
            )

    val value: String get() = if (access == JobAccess.ALL) UNRESTRICTED else storedJson.encodeToString(JobAccess.serializer(), access)

    companion object {
        private const val CANCEL_SUFFIX = "/cancel"

        /** Value of a row whose key carries all information. */
        private const val UNRESTRICTED = "1"
        private const val DIGEST_BYTES = 16

        /** The message in [row]; null if its rights cannot be read. */
        fun of(row: StoredRow): InboxMessage? {
            val key = row.key.key
            val isCancel = key.endsWith(CANCEL_SUFFIX) || "$CANCEL_SUFFIX/" in key
            if (!isCancel) return InboxMessage(key, isCancel = false)
            val access = if (key.endsWith(CANCEL_SUFFIX)) JobAccess.ALL else decodeStored(JobAccess.serializer(), row.value)
            return access?.let { InboxMessage(key.substringBefore(CANCEL_SUFFIX), isCancel = true, it) }
        }

        private fun digestOf(access: JobAccess): String {
            val digest = MessageDigest.getInstance("SHA-256").digest(access.account.orEmpty().toByteArray())
            return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES)
        }
    }
}
