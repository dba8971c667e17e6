/*
 * Guards against pools that stop growing after a rolling restart hands the ownership over: the new owner must not wait for
 * instance leases that do not concern the pool.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.world.InvariantChecker
import io.corianderrock.jobs.world.JobWorld
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
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
