/*
 * Covers demand that rotates between pools: the peak of one pool ends within some seconds while that of the next begins.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.fleet.Release
import io.corianderrock.jobs.fleet.SurplusRelease
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe

private const val TICK_MS = 100L
private const val PEAK_NEED = 150

/** Plays [needs], one each tick, to a pool that holds [PEAK_NEED] instances; calls [onRelease] with the time since the start. */
private fun play(
    drainsEarly: Boolean,
    needs: List<Int>,
    onRelease: (Long, Release) -> Unit,
) {
    val time = SimTime()
    val release = SurplusRelease(SimLoop(time), drainsEarly)
    var cordonedCount = 0
    for ((tick, need) in needs.withIndex()) {
        val next = release.release("pool", need, PEAK_NEED - cordonedCount, cordonedCount)
        onRelease(tick * TICK_MS, next)
        cordonedCount += next.cordonCount
        time.runUntil(time.nowMs + TICK_MS)
    }
}

/** Time after which half of the instances of a peak are cordoned while the need falls by 40 instances a second, from tick 1 on. */
private fun halfCordonedAfterMs(drainsEarly: Boolean): Long {
    var cordonedCount = 0
    var halfAtMs = Long.MAX_VALUE
    play(drainsEarly, List(60) { maxOf(10, PEAK_NEED - 4 * it) }) { atMs, release ->
        cordonedCount += release.cordonCount
        if (cordonedCount >= PEAK_NEED / 2) halfAtMs = minOf(halfAtMs, atMs)
    }
    return halfAtMs
}

internal class SurplusReleaseTest :
    DescribeSpec({
        describe("a pool whose peak ends") {
            // Guards against instances that take new tasks of the old peak while the next pool waits for them.
            it("cordons a second earlier with early draining") {
                halfCordonedAfterMs(drainsEarly = true) shouldBeLessThan halfCordonedAfterMs(drainsEarly = false) - 900
            }
            // Guards against two moves through standby where a move to the next pool or none would do.
            it("returns nothing to standby before the need has been lower for 1.5 s") {
                play(drainsEarly = true, List(40) { if (it == 0) PEAK_NEED else 10 }) { atMs, release ->
                    if (atMs <= 1_500) release.returnCount shouldBe 0
                    if (atMs > 1_600) release.returnCount shouldBe PEAK_NEED - 10
                }
            }
        }
        describe("a need that dips between two bursts of arrivals") {
            it("cordons nothing") {
                play(drainsEarly = true, List(40) { if (it % 4 == 0) PEAK_NEED else 100 }) { _, release -> release.cordonCount shouldBe 0 }
            }
        }
        describe("a pool that does not drain early") {
            it("cordons after 1.5 s and returns all that is cordoned") {
                play(drainsEarly = false, List(40) { if (it == 0) PEAK_NEED else 10 }) { atMs, release ->
                    if (atMs <= 1_500) release.cordonCount shouldBe 0
                    if (atMs > 1_700) release.returnCount shouldBe PEAK_NEED - 10
                }
            }
        }
    })
