/*
 * Runs the controller's reconciliation rounds on this entry while it holds the controller lease.
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
 * Renews the lease and, while it is held, runs reconciliation rounds of [controller]. The pause after a round is
 * [PAUSE_CPU_TIME_FACTOR] times the CPU time of that round, at most two seconds, so that control work takes a small share
 * of one CPU.
 * Not thread-safe: [tick] and [release] are called by one thread at a time.
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

    /** Renews the lease and runs a round if one is due; called on the daemon's timer. */
    public fun tick() {
        val held = lease.renewOrAcquire()
        isController = held != null
        if (isController != wasController) log.info("controller-changed", "isController" eq isController, "token" eq held?.token)
        wasController = isController
        val current = declarations() ?: return
        if (held != null && clock.monotonicNs() - nextRoundNs >= 0) runRound(current, held)
    }

    private fun runRound(
        current: Declarations,
        held: HeldLease,
    ) {
        val startCpuNs = threads.currentThreadCpuTime
        controller.reconcile(current, held)
        val usedCpuNs = threads.currentThreadCpuTime - startCpuNs
        nextRoundNs = clock.monotonicNs() + (usedCpuNs * PAUSE_CPU_TIME_FACTOR).coerceIn(0, MAX_PAUSE_NS)
    }

    /** Releases the lease. */
    public fun release() {
        isController = false
        lease.release()
    }

    private companion object {
        const val PAUSE_CPU_TIME_FACTOR = 60
        const val MAX_PAUSE_NS = 2_000 * NS_PER_MS
    }
}

/** Logs every change of a reconciliation round with the outcome of its commit. */
public object FleetChangeLogger : FleetChangeListener {
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
        changes.forEach { logChange(it, outcome) }
    }

    private fun logChange(
        change: FleetChange,
        outcome: String,
    ) {
        when (change) {
            is FleetChange.InstanceChange ->
                log.info(
                    change.kind,
                    "instance" eq change.after.id,
                    "epoch" eq change.after.epoch,
                    "cause" eq change.cause,
                    "outcome" eq outcome,
                )
            is FleetChange.WaveChange -> log.info(change.kind, "wave" eq change.after.runId, "cause" eq change.cause, "outcome" eq outcome)
        }
    }
}
