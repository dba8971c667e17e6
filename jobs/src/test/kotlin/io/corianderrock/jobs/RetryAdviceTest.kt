/*
 * Covers callers of entries that cannot tell how often a job was refused before: their four retries must outlast outages of 4 to
 * 8 s, the first refusals of an outage must not send them away for longer than a takeover takes, and they must not return together.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.entry.RetryAdvice
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val CALLERS = 400
private const val RETRIES = 4

internal class RetryAdviceTest :
    DescribeSpec({
        describe("entries that do not know earlier refusals of a job") {
            for ((outageMs, leastShare) in listOf(4_200L to 0.98, 6_000L to 0.93, 8_000L to 0.83)) {
                it("let $leastShare of 400 callers outlast an outage of $outageMs ms, more than a fixed delay of 1 s") {
                    val served = servedShare(outageMs) { advice, ageMs -> advice.retryAfterMs(attempt = null, silentMs = ageMs) }
                    served shouldBeGreaterThan leastShare
                    served shouldBeGreaterThan servedShare(outageMs) { _, _ -> 1_000 }
                }
            }
            it("tell all callers to retry after 1 s until a takeover is due") {
                val advice = RetryAdvice(SimLoop(SimTime()), Random(1))
                List(100) { advice.retryAfterMs(attempt = null, silentMs = 1_200) }.toSet() shouldBe setOf(1_000L)
            }
        }
        describe("a job of which every refusal is known") {
            it("is told delays of at least 8 s together, the first of 1 s, and not the same as others") {
                val advice = RetryAdvice(SimLoop(SimTime()), Random(1))
                val totals = List(100) { (1..RETRIES).sumOf { attempt -> advice.retryAfterMs(attempt) } }
                totals.forEach { it shouldBeInRange 8_000L..10_000L }
                totals.toSet().size shouldBeGreaterThan 2
                advice.retryAfterMs(attempt = 1) shouldBe 1_000L
            }
            it("counts one attempt once when an entry asks the owner again, and is forgotten later") {
                val time = SimTime()
                val advice = RetryAdvice(SimLoop(time), Random(1))
                advice.countRefusal("job") shouldBe 1
                time.runUntil(time.nowMs + 200)
                advice.countRefusal("job") shouldBe 1
                time.runUntil(time.nowMs + 1_000)
                advice.countRefusal("job") shouldBe 2
                time.runUntil(time.nowMs + 11_000)
                advice.countRefusal("other") shouldBe 1
                advice.countRefusal("job") shouldBe 1
            }
        }
    })

/** The share of callers whose retries reach the end of an outage; first attempts come evenly while it lasts. */
private fun servedShare(
    outageMs: Long,
    delayMs: (RetryAdvice, Long) -> Long,
): Double {
    val time = SimTime()
    val startMs = time.nowMs
    val advice = RetryAdvice(SimLoop(time), Random(7))
    var servedCount = 0

    fun attempt(retriesLeft: Int) {
        val ageMs = time.nowMs - startMs
        when {
            ageMs >= outageMs -> servedCount++
            retriesLeft > 0 -> time.after(delayMs(advice, ageMs)) { attempt(retriesLeft - 1) }
        }
    }
    repeat(CALLERS) { number -> time.after(number * outageMs / CALLERS) { attempt(RETRIES) } }
    time.runUntil(startMs + 60_000)
    return servedCount.toDouble() / CALLERS
}
