/*
 * Passive health of one worker: consecutive failures eject it, a measured trial brings it back.
 */
package io.corianderrock.coordination.health

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Limits of ejection. Durations are in nanoseconds. */
public data class HealthLimits(
    val failuresToEject: Int = 3,
    val timeoutsToEject: Int = 5,
    val baseEjectionNs: Long = 1_000_000_000,
    val maxEjectionNs: Long = 30_000_000_000,
    val maxEjectedShare: Double = 0.5,
)

/** Counts the ejected workers of one pool, so that a correlated failure cannot empty it. */
public class EjectionBudget(
    private val limits: HealthLimits,
) {
    private val ejected = AtomicInteger()
    private val workers = AtomicInteger()

    /** The number of workers that are ejected now. */
    public val ejectedCount: Int get() = ejected.get()

    /** Sets the number of workers of the pool. */
    public fun resize(workerCount: Int) {
        workers.set(workerCount)
    }

    internal fun tryEject(): Boolean {
        while (true) {
            val seen = ejected.get()
            if (seen + 1 > workers.get() * limits.maxEjectedShare) return false
            if (ejected.compareAndSet(seen, seen + 1)) return true
        }
    }

    internal fun readmit() {
        ejected.decrementAndGet()
    }
}

/** How a dispatch failed. A timeout says less about a worker than an error does. */
public enum class FailureKind { ERROR, TIMEOUT }

/** The health of one worker. All methods are lock-free and may be called by many threads. */
public class WorkerHealth(
    private val limits: HealthLimits,
    private val budget: EjectionBudget,
) {
    private val consecutiveWeight = AtomicInteger()
    private val weightToEject = limits.failuresToEject * limits.timeoutsToEject
    private val ejectedUntilNs = AtomicLong(NOT_EJECTED)
    private val ejections = AtomicInteger()
    private val trialStartedNs = AtomicLong(NO_TRIAL)

    /** True while the worker is ejected, trials included. */
    public val isEjected: Boolean get() = ejectedUntilNs.get() != NOT_EJECTED

    /** The number of failures since the last success; routing treats it as extra load. */
    public val failurePenalty: Int get() = consecutiveWeight.get() / limits.timeoutsToEject

    /** True when the worker may receive a request at [nowNs]. For an ejected worker this claims its single trial. */
    public fun tryAdmit(nowNs: Long): Boolean {
        val until = ejectedUntilNs.get()
        if (until == NOT_EJECTED) return true
        if (nowNs < until) return false
        return claimTrial(nowNs)
    }

    /** Records a whole answer that the worker gave. */
    public fun onSuccess() {
        consecutiveWeight.set(0)
        if (ejectedUntilNs.getAndSet(NOT_EJECTED) == NOT_EJECTED) return
        ejections.set(0)
        trialStartedNs.set(NO_TRIAL)
        budget.readmit()
    }

    /** Records a failure at [nowNs] and ejects the worker when failures follow one another. */
    public fun onFailure(
        nowNs: Long,
        kind: FailureKind = FailureKind.ERROR,
    ) {
        val weight = consecutiveWeight.addAndGet(weightOf(kind))
        val until = ejectedUntilNs.get()
        if (until != NOT_EJECTED) {
            extendAfterTrial(until, nowNs)
        } else if (weight >= weightToEject && budget.tryEject()) {
            eject(nowNs)
        }
    }

    /** Forgets the worker; a pool that loses it gets its share of ejections back. */
    public fun dispose() {
        if (ejectedUntilNs.getAndSet(NOT_EJECTED) != NOT_EJECTED) budget.readmit()
    }

    /** The weights let [HealthLimits.failuresToEject] errors or [HealthLimits.timeoutsToEject] timeouts reach the limit. */
    private fun weightOf(kind: FailureKind): Int =
        when (kind) {
            FailureKind.ERROR -> limits.timeoutsToEject
            FailureKind.TIMEOUT -> limits.failuresToEject
        }

    private fun claimTrial(nowNs: Long): Boolean {
        val started = trialStartedNs.get()
        val isFree = started == NO_TRIAL || nowNs - started > limits.maxEjectionNs
        return isFree && trialStartedNs.compareAndSet(started, nowNs)
    }

    private fun eject(nowNs: Long) {
        val isFirst = ejectedUntilNs.compareAndSet(NOT_EJECTED, nowNs + ejectionNs())
        if (!isFirst) budget.readmit()
    }

    private fun extendAfterTrial(
        until: Long,
        nowNs: Long,
    ) {
        if (nowNs < until) return
        ejections.incrementAndGet()
        if (ejectedUntilNs.compareAndSet(until, nowNs + ejectionNs())) trialStartedNs.set(NO_TRIAL)
    }

    private fun ejectionNs(): Long {
        val doublings = ejections.get().coerceAtMost(MAX_DOUBLINGS)
        return (limits.baseEjectionNs shl doublings).coerceAtMost(limits.maxEjectionNs)
    }

    private companion object {
        const val NOT_EJECTED = Long.MIN_VALUE
        const val NO_TRIAL = Long.MIN_VALUE
        const val MAX_DOUBLINGS = 10
    }
}
