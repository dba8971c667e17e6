/*
 * Control work on this entry's timer, under the controller's lease.
 */
package io.corianderrock.daemon

import io.corianderrock.coordination.Clock
import io.corianderrock.coordination.NS_PER_MS
import io.corianderrock.coordination.PlatformResult
import io.corianderrock.coordination.lease.ControllerLease
import io.corianderrock.coordination.lease.HeldLease
import io.corianderrock.coordination.maintenance.Controller
import io.corianderrock.coordination.maintenance.FleetChange
import io.corianderrock.coordination.maintenance.FleetChangeListener
import io.corianderrock.state.Declarations
import io.corianderrock.transport.EventLog
import io.corianderrock.transport.eq
import java.lang.management.ManagementFactory

/**
 * Renews the lease and, while it is held, lets [controller] do a round. A round is followed by a pause of
 * many times the processor time that it took, two seconds at the most, so that control work stays a small part of one processor. Driven by one thread.
 */
public class ControlLoop(
    private val clock: Clock,
    private val lease: ControllerLease,
    private val controller: Controller,
    private val declarations: () -> Declarations?,
) {
    private val log = EventLog("controller")
    private val threads = ManagementFactory.getThreadMXBean()
    private var wasController = false
    private var nextRoundNs = clock.monotonicNs()

    /** True while this entry holds the lease. */
    @Volatile
    public var isController: Boolean = false
        private set

    /** Does one round. */
    public fun tick() {
        val held = lease.renewOrAcquire()
        isController = held != null
        if (isController != wasController) log.info("controller-changed", "isController" eq isController, "token" eq held?.token)
        wasController = isController
        val current = declarations() ?: return
        if (held != null && clock.monotonicNs() - nextRoundNs >= 0) doRound(current, held)
    }

    private fun doRound(
        current: Declarations,
        held: HeldLease,
    ) {
        val startedCpuNs = threads.currentThreadCpuTime
        controller.reconcile(current, held)
        val usedCpuNs = threads.currentThreadCpuTime - startedCpuNs
        nextRoundNs = clock.monotonicNs() + (usedCpuNs * REST_FACTOR).coerceIn(0, MAX_REST_NS)
    }

    /** Gives the lease back. */
    public fun release() {
        isController = false
        lease.release()
    }

    private companion object {
        const val REST_FACTOR = 60
        const val MAX_REST_NS = 2_000 * NS_PER_MS
    }
}

/** Writes a line for each step. */
public object StepLog : FleetChangeListener {
    private val log = EventLog("steps")

    override fun onChanges(
        changes: List<FleetChange>,
        result: PlatformResult<Long>,
    ) {
        val outcome =
            when (result) {
                is PlatformResult.Ok -> "committed"
                is PlatformResult.Conflict -> "conflict"
                is PlatformResult.Failed -> "failed"
            }
        changes.forEach { logStep(it, outcome) }
    }

    private fun logStep(
        step: FleetChange,
        outcome: String,
    ) {
        when (step) {
            is FleetChange.InstanceChange ->
                log.info(
                    step.kind,
                    "instance" eq step.after.id,
                    "epoch" eq step.after.epoch,
                    "cause" eq step.cause,
                    "outcome" eq outcome,
                )
            is FleetChange.WaveChange -> log.info(step.kind, "wave" eq step.after.runId, "cause" eq step.cause, "outcome" eq outcome)
        }
    }
}
