/*
 * How the owner cancels jobs. A job that is stored is cancelled at once. One that is being stored or not known may still be submitted, so
 * that its cancellation is kept for its submission, see EarlyCancellations.
 */
package io.corianderrock.jobs.runs

import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.storerate.TokenBucket

/** Cancels jobs of [registry] while its owner can write, until [isClosed]. Used on the event loop only. */
internal class JobCancellation(
    loop: EventLoop,
    private val registry: JobRegistry,
    private val inbox: JobInbox,
    private val early: EarlyCancellations,
    private val isClosed: () -> Boolean,
) {
    private val lookups = TokenBucket(loop, ratePerS = { LOOKUPS_PER_S }, capacity = { LOOKUPS_PER_S })

    /**
     * Cancels the job [id] if it is within [access]; [onResult] is called once. A job outside [access] is treated as one that does not
     * exist, so that neither the answer nor its time tells of it.
     */
    fun cancel(
        id: String,
        access: JobAccess,
        onResult: (CancelResult) -> Unit,
    ) {
        when {
            registry.isUnreadable(id) -> onResult(CancelResult.UNAVAILABLE)
            permitted(id, access) != null -> cancelByMemory(id, access, onResult)
            !early.hasRoomFor(id, access) -> onResult(CancelResult.TOO_MANY)
            // Only the answer depends on the lookup: a job that another entry has stored since the inbox was read ends without it as well.
            lookups.take() -> lookUpAndCancel(id, access, onResult)
            else -> cancelByMemory(id, access, onResult)
        }
    }

    private fun lookUpAndCancel(
        id: String,
        access: JobAccess,
        onResult: (CancelResult) -> Unit,
    ) = inbox.find(id) { found ->
        val isUnavailable = found is JobInbox.Lookup.Unreadable || isClosed()
        if (isUnavailable) onResult(CancelResult.UNAVAILABLE) else cancelByMemory(id, access, onResult)
    }

    private fun cancelByMemory(
        id: String,
        access: JobAccess,
        onResult: (CancelResult) -> Unit,
    ) {
        val onDropped = { onResult(CancelResult.UNKNOWN) }
        val stored = permitted(id, access)?.takeIf { it.isStored }
        if (stored != null) {
            registry.cancel(stored, onDropped) { onResult(CancelResult.STORED) }
            return
        }
        val isHeld =
            early.add(id, access, onDropped = onDropped) {
                onResult(if (permitted(id, access) != null) CancelResult.STORED else CancelResult.NOT_KNOWN)
            }
        if (!isHeld) onResult(CancelResult.TOO_MANY)
    }

    /** The job [id], stored or being stored, if it is within [access]. */
    private fun permitted(
        id: String,
        access: JobAccess,
    ): JobRun? = registry.find(id)?.takeIf { access.permits(it.submission.account) }

    private companion object {
        /** Few beside the owner's other reads, however many jobs that do not exist are cancelled. */
        const val LOOKUPS_PER_S = 20.0
    }
}
