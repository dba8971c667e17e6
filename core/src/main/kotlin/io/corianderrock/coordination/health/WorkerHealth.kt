/*
 * Passive health checks of one worker: consecutive failures eject it, a successful probe request readmits it.
 */
package io.corianderrock.coordination.health

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Limits of ejection. A worker is ejected after [failuresToEject] consecutive errors or [timeoutsToEject] consecutive
 * timeouts. The ejection time starts at [baseEjectionNs] and doubles with each failed probe up to [maxEjectionNs]. At most
 * [maxEjectedShare] of a pool is ejected at a time.
 */
public data class HealthLimits(
    val failuresToEject: Int = 3,
    val timeoutsToEject: Int = 5,
    val baseEjectionNs: Long = 1_000_000_000,
    val maxEjectionNs: Long = 30_000_000_000,
    val maxEjectedShare: Double = 0.5,
)

/** Bounds the number of ejected workers of one pool, so that a correlated failure cannot empty it. Lock-free. */
public class EjectionBudget(
    private val limits: HealthLimits,
) {
    private val ejected = AtomicInteger()
    private val workers = AtomicInteger()

    /** The number of ejected workers. */
    public val ejectedCount: Int get() = ejected.get()

    /** Sets the number of workers of the pool. */
    public fun resize(workerCount: Int) {
        workers.set(workerCount)
    }

    internal fun tryEject(): Boolean {
        while (true) {
            val current = ejected.get()
            if (current + 1 > workers.get() * limits.maxEjectedShare) return false
            if (ejected.compareAndSet(current, current + 1)) return true
        }
    }

    internal fun readmit() {
        ejected.decrementAndGet()
    }
}

/** How a dispatch failed. A timeout is weaker evidence of a faulty worker than an error. */
public enum class FailureKind { ERROR, TIMEOUT }

/** The health of one worker. All methods are lock-free and may be called by many threads. */
public class WorkerHealth(
    private val limits: HealthLimits,
    private val budget: EjectionBudget,
) {
    private val consecutiveFailureWeight = AtomicInteger()
    private val weightToEject = limits.failuresToEject * limits.timeoutsToEject
    private val ejectedUntilNs = AtomicLong(NOT_EJECTED)
    private val failedProbes = AtomicInteger()
    private val probeStartedNs = AtomicLong(NO_PROBE)

    /** True from the ejection until a probe succeeds. */
    public val isEjected: Boolean get() = ejectedUntilNs.get() != NOT_EJECTED

    /** The failures since the last success in units of errors; load balancing adds it to the load. */
    public val failurePenalty: Int get() = consecutiveFailureWeight.get() / limits.timeoutsToEject

    /** True if the worker may receive a request at monotonic time [nowNs]. For an ejected worker, true starts its single probe. */
    public fun tryAdmit(nowNs: Long): Boolean {
        val untilNs = ejectedUntilNs.get()
        if (untilNs == NOT_EJECTED) return true
        if (nowNs < untilNs) return false
        return tryStartProbe(nowNs)
    }

    /** Records a complete response of the worker; ends an ejection. */
    public fun onSuccess() {
        consecutiveFailureWeight.set(0)
        if (ejectedUntilNs.getAndSet(NOT_EJECTED) == NOT_EJECTED) return
        failedProbes.set(0)
        probeStartedNs.set(NO_PROBE)
        budget.readmit()
    }

    /** Records a failure at [nowNs]; ejects the worker after enough consecutive ones, or extends the ejection. */
    public fun onFailure(
        nowNs: Long,
        kind: FailureKind = FailureKind.ERROR,
    ) {
        val weight = consecutiveFailureWeight.addAndGet(weightOf(kind))
        val untilNs = ejectedUntilNs.get()
        if (untilNs != NOT_EJECTED) {
            extendAfterFailedProbe(untilNs, nowNs)
        } else if (weight >= weightToEject && budget.tryEject()) {
            eject(nowNs)
        }
    }

    /** Returns the worker's ejection to the budget of its pool. Called when the worker is removed. */
    public fun dispose() {
        if (ejectedUntilNs.getAndSet(NOT_EJECTED) != NOT_EJECTED) budget.readmit()
    }

    /** With these weights [HealthLimits.failuresToEject] errors or [HealthLimits.timeoutsToEject] timeouts reach the limit. */
    private fun weightOf(kind: FailureKind): Int =
        when (kind) {
            FailureKind.ERROR -> limits.timeoutsToEject
            FailureKind.TIMEOUT -> limits.failuresToEject
        }

    /** A probe without a result for [HealthLimits.maxEjectionNs] no longer blocks the next one. */
    private fun tryStartProbe(nowNs: Long): Boolean {
        val started = probeStartedNs.get()
        val isFree = started == NO_PROBE || nowNs - started > limits.maxEjectionNs
        return isFree && probeStartedNs.compareAndSet(started, nowNs)
    }

    private fun eject(nowNs: Long) {
        val isFirst = ejectedUntilNs.compareAndSet(NOT_EJECTED, nowNs + ejectionNs())
        if (!isFirst) budget.readmit()
    }

    private fun extendAfterFailedProbe(
        untilNs: Long,
        nowNs: Long,
    ) {
        if (nowNs < untilNs) return
        failedProbes.incrementAndGet()
        if (ejectedUntilNs.compareAndSet(untilNs, nowNs + ejectionNs())) probeStartedNs.set(NO_PROBE)
    }

    private fun ejectionNs(): Long {
        val doublings = failedProbes.get().coerceAtMost(MAX_DOUBLINGS)
        return (limits.baseEjectionNs shl doublings).coerceAtMost(limits.maxEjectionNs)
    }

    private companion object {
        const val NOT_EJECTED = Long.MIN_VALUE
        const val NO_PROBE = Long.MIN_VALUE
        const val MAX_DOUBLINGS = 10
    }
}
