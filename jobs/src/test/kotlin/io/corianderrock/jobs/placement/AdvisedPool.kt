/*
 * A pool whose queue needs advice, and an advice service that takes one call at a time.
 */
package io.corianderrock.jobs.placement

import io.corianderrock.jobs.ports.AdviceAnswer
import io.corianderrock.jobs.ports.AdviceService
import io.corianderrock.jobs.ports.Ticket
import io.corianderrock.jobs.runs.SchedulingSettings
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.Step

/** A call of the advice service, answered or refused. */
internal class AdviceCall(
    val step: String,
    val workers: List<String>,
    val atMs: Long,
)

internal class AdvisedPool(
    rackCount: Int = 2,
    workersPerRack: Int = 20,
    settings: SchedulingSettings = SchedulingSettings(),
    private val decideMs: Long = 20,
    private val periodMs: Long = 1,
    private val validMs: Long = 3_000,
    private val isAllowed: (String) -> Boolean,
) : AdviceService {
    val calls = ArrayList<AdviceCall>()

    /** Calls that found [MAX_WAITING] others waiting. */
    var refusedCount = 0
        private set
    var mostWaiting = 0
        private set
    private var waitingCount = 0
    private var busyUntilMs = 0L

    /** True to fail all calls. */
    var isDown = false
    val pool = PlacementPool(rackCount, workersPerRack, settings, advice = this)

    val askedWorkers: List<String> get() = calls.flatMap { it.workers }

    fun submitShort(taskCount: Int = 3): String = pool.submit(Step(taskCount, Demand(1_000, 500), estimateMs = 200))

    override fun ask(
        step: String,
        workerIds: List<String>,
        onAnswer: (AdviceAnswer) -> Unit,
    ) {
        require(workerIds.size in 1..100) { "a call names ${workerIds.size} workers, expected 1 to 100" }
        calls.add(AdviceCall(step, workerIds, pool.nowMs))
        if (isDown || waitingCount >= MAX_WAITING) {
            refusedCount++
            pool.after(1) { onAnswer(AdviceAnswer(null, 0)) }
            return
        }
        waitingCount++
        mostWaiting = maxOf(mostWaiting, waitingCount)
        busyUntilMs = maxOf(busyUntilMs, pool.nowMs) + decideMs + periodMs * workerIds.size
        pool.after(busyUntilMs - pool.nowMs) {
            waitingCount--
            onAnswer(AdviceAnswer(workerIds.filter(isAllowed).map { Ticket(it, "t-$it") }, validMs))
        }
    }

    private companion object {
        const val MAX_WAITING = 32
    }
}
