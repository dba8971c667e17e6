/*
 * Rolling restarts under rotating demand: pools must go on growing over a handover of the ownership.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.world.InvariantChecker
import io.corianderrock.jobs.world.JobWorld
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan

internal class HandoverTest :
    DescribeSpec({
        describe("an owner that stops while demand moves between pools") {
            it("is followed by one that orders instances at once") {
                val delaysMs = (1..20).mapNotNull { HandoverWorld(it).firstOrderAfterHandoverMs() }.sorted()
                delaysMs[delaysMs.size / 2] shouldBeLessThan TARGET_MS
            }
            it("is never ordered on by two owners at a time") {
                (1..20).flatMap { HandoverWorld(it).run().violations }.shouldBeEmpty()
            }
        }
    })

/** Half of the lease of an instance: a pool that lacks room must not wait for a lease that does not concern it. */
private const val TARGET_MS = 1_500L

private const val HANDOVER_AT_MS = 6_000L

/** Enough for some instances to have had no order just before the handover. */
private const val INSTANCE_COUNT = 16

private class HandoverWorld(
    seed: Int,
) {
    private var handoverAtMs = 0L
    private val world =
        JobWorld(seed, hasFaults = false, instanceCount = INSTANCE_COUNT, plan = { world ->
            world.time.after(HANDOVER_AT_MS) {
                handoverAtMs = world.time.nowMs
                world.entries.first { it.scheduler != null }.leave()
            }
        })

    fun run(): InvariantChecker = world.run()

    fun firstOrderAfterHandoverMs(): Long? = run().instanceOrders.firstOrNull { it.token > 1 }?.let { it.atMs - handoverAtMs }
}
