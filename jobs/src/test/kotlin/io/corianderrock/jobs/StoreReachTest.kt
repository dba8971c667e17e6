/*
 * Covers how an entry tells a slow store from a sound one by its reads of the owner row, of which several may be waiting.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ownership.StoreReach
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue

private const val SLOW_READ_MS = 200L
private const val USUAL_READ_MS = 5L
private const val TIMEOUT_MS = 900L

internal class StoreReachTest :
    DescribeSpec({
        describe("a store that answers each read slowly") {
            it("is slow from the first read, before its answer") {
                val reads = Reads()
                reads.read(SLOW_READ_MS)
                reads.time.runUntil(reads.time.nowMs + SLOW_READ_MS / 2)
                reads.reach.isSlow.shouldBeTrue()
            }
            it("stays slow after the answers to two reads that overlapped") {
                val reads = Reads()
                reads.read(SLOW_READ_MS)
                reads.time.runUntil(reads.time.nowMs + SLOW_READ_MS / 2)
                reads.read(SLOW_READ_MS)
                reads.time.runUntil(reads.time.nowMs + 2 * SLOW_READ_MS)
                reads.reach.isSlow.shouldBeTrue()
            }
            it("is no longer slow after an answer as soon as usual") {
                val reads = Reads()
                reads.read(SLOW_READ_MS)
                reads.time.runUntil(reads.time.nowMs + 2 * SLOW_READ_MS)
                reads.read(USUAL_READ_MS)
                reads.time.runUntil(reads.time.nowMs + SLOW_READ_MS)
                reads.reach.isSlow.shouldBeFalse()
            }
        }
        describe("a store that answers again after an outage") {
            // Guards against requests that are refused although the store is back: reads sent in the outage time out after it.
            it("is not lost again when a read sent before the last answered one fails") {
                val reads = Reads()
                reads.read(TIMEOUT_MS, isAnswered = false)
                reads.time.runUntil(reads.time.nowMs + TIMEOUT_MS / 2)
                reads.read(USUAL_READ_MS)
                reads.time.runUntil(reads.time.nowMs + TIMEOUT_MS)
                reads.reach.isLost.shouldBeFalse()
                reads.reach.isSlow.shouldBeFalse()
            }
            it("is lost when a read sent after the last answered one fails") {
                val reads = Reads()
                reads.read(USUAL_READ_MS)
                reads.time.runUntil(reads.time.nowMs + USUAL_READ_MS)
                reads.read(TIMEOUT_MS, isAnswered = false)
                reads.time.runUntil(reads.time.nowMs + TIMEOUT_MS)
                reads.reach.isLost.shouldBeTrue()
            }
        }
    })

private class Reads {
    val time = SimTime()
    val reach = StoreReach(SimLoop(time))

    fun read(
        tookMs: Long,
        isAnswered: Boolean = true,
    ) {
        reach.onReadSent()
        time.after(tookMs) { reach.onReadEnded(isAnswered = isAnswered, tookMs = tookMs) }
    }
}
