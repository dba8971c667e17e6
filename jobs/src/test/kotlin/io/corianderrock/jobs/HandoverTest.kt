/*
 * Guards against pools that stop growing after a rolling restart hands the ownership over: the new owner must not wait for
 * instance leases that do not concern the pool. Also guards against orders of two owners within the lease of an instance when
 * the ownership passes on again before that lease has expired.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.world.InvariantChecker
import io.corianderrock.jobs.world.JobWorld
import io.corianderrock.jobs.world.SimEntry
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan

internal class HandoverTest :
    DescribeSpec({
        describe("an owner that shuts down while demand moves between pools") {
            it("has a successor that orders instances without waiting for a lease to expire") {
                val delaysMs = (1..20).mapNotNull { HandoverWorld(it).firstOrderAfterHandoverMs() }.sorted()
                delaysMs[delaysMs.size / 2] shouldBeLessThan MAX_MEDIAN_DELAY_MS
            }
            it("never orders an instance at the same time as its successor") {
                (1..20).flatMap { HandoverWorld(it).run().violations }.shouldBeEmpty()
            }
        }
        describe("two handovers within the lease of an instance") {
            // Guards against a restarted owner that deletes the stored orders of its earlier process: a third owner then
            // orders the same instances at once.
            it("to the restarted owner, then to another entry: no instance is ordered within its lease") {
                val worlds = (1..TWO_HANDOVER_SEEDS).map { TwoHandoversWorld(it, firstOwnerReturns = true) }
                val violations = worlds.flatMap { it.run().violations }
                worlds.count { it.hasThirdOwner } shouldBeGreaterThan TWO_HANDOVER_SEEDS / 2
                violations.shouldBeEmpty()
            }

            // Guards against a successor that restarts and takes the orders of a released owner for its own.
            it("to another entry, then to its restarted process: no instance is ordered within its lease") {
                val worlds = (1..TWO_HANDOVER_SEEDS).map { TwoHandoversWorld(it, firstOwnerReturns = false) }
                val violations = worlds.flatMap { it.run().violations }
                worlds.count { it.hasThirdOwner } shouldBeGreaterThan TWO_HANDOVER_SEEDS / 2
                violations.shouldBeEmpty()
            }

            // Guards against a process that begins a second term and counts the orders of earlier owners as older than its start.
            it("to another entry, then to a new term of its process: no instance is ordered within its lease") {
                val worlds = (1..TWO_HANDOVER_SEEDS).map { TwoHandoversWorld(it, firstOwnerReturns = false, isProcessKept = true) }
                val violations = worlds.flatMap { it.run().violations }
                worlds.count { it.hasThirdOwner } shouldBeGreaterThan TWO_HANDOVER_SEEDS / 2
                violations.shouldBeEmpty()
            }
        }
    })

/** Half of the instance lease: a pool short of capacity must not wait for a lease that does not concern it. */
private const val MAX_MEDIAN_DELAY_MS = 1_500L

private const val HANDOVER_AT_MS = 6_000L

/** Large enough that some instances received no order just before the handover. */
private const val INSTANCE_COUNT = 16

private class HandoverWorld(
    seed: Int,
) {
    private var handoverAtMs = 0L
    private val world =
        JobWorld(seed, hasFaults = false, instanceCount = INSTANCE_COUNT, scheduleEvents = { world ->
            world.time.after(HANDOVER_AT_MS) {
                handoverAtMs = world.time.nowMs
                world.entries.first { it.scheduler != null }.shutDown()
            }
        })

    fun run(): InvariantChecker = world.run()

    fun firstOrderAfterHandoverMs(): Long? = run().instanceOrders.firstOrNull { it.token > 1 }?.let { it.atMs - handoverAtMs }
}

private const val TWO_HANDOVER_SEEDS = 40

/** Time for which a process is down when it is restarted; short, so that it is back before peers replace it. */
private const val RESTART_MS = 10L

/** Time from a takeover to the end of the new owner: it has loaded the stored orders and sent its first own ones. */
private const val SECOND_OWNER_MS = 250L

/**
 * Passes the ownership on twice. With [firstOwnerReturns] the owner restarts and takes over from its earlier process, then fails.
 * Otherwise it shuts down, and the entry that takes over restarts and takes over from its own earlier process; with
 * [isProcessKept] an unexpected error ends its term instead, and it begins another.
 */
private class TwoHandoversWorld(
    seed: Int,
    private val firstOwnerReturns: Boolean,
    private val isProcessKept: Boolean = false,
) {
    private val world = JobWorld(seed, hasFaults = false, instanceCount = INSTANCE_COUNT, scheduleEvents = ::scheduleHandovers)

    /** True if the ownership was taken over twice before the lease of an order sent before the first handover expired. */
    var hasThirdOwner = false
        private set

    fun run(): InvariantChecker = world.run()

    private fun scheduleHandovers(world: JobWorld) =
        world.time.after(HANDOVER_AT_MS) {
            val first = ownerOf(world)
            if (firstOwnerReturns) {
                restart(world, first)
                world.time.after(RESTART_MS + SECOND_OWNER_MS) { ownerOf(world).kill() }
            } else {
                first.shutDown()
                restartSuccessor(world, first)
            }
            world.time.after(LEASE_MS) { hasThirdOwner = world.entries.any { (it.elector?.owner?.epoch ?: 0) >= 3 } }
        }

    private fun restartSuccessor(
        world: JobWorld,
        first: SimEntry,
    ) {
        val successor = world.entries.firstOrNull { it !== first && it.scheduler != null }
        if (successor != null) endTerm(world, successor) else world.time.after(RESTART_MS) { restartSuccessor(world, first) }
    }

    private fun endTerm(
        world: JobWorld,
        owner: SimEntry,
    ) {
        if (isProcessKept) world.failingEvent = "pool" else restart(world, owner)
    }

    private fun restart(
        world: JobWorld,
        entry: SimEntry,
    ) {
        entry.kill()
        world.time.after(RESTART_MS) { entry.boot() }
    }

    private fun ownerOf(world: JobWorld): SimEntry = world.entries.first { it.scheduler != null }

    private companion object {
        /** The lease of an instance in the simulation. */
        const val LEASE_MS = 3_000L
    }
}
