/*
 * Covers what is learned of which images disturb which.
 */
package io.corianderrock.jobs.sharing

import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

private val WEB = Step(1, image = "web", responseTargetMs = 200)
private val API = Step(1, image = "api", responseTargetMs = 200)
private val BATCH = Step(1, image = "batch", isBestEffort = true)
private val INDEX = Step(1, image = "index", isBestEffort = true)

internal class LearnedInterferenceTest :
    DescribeSpec({
        describe("a tail that came near its target") {
            // Guards against one image that disturbs another and so keeps all best-effort tasks slow.
            it("lowers the limit of its pair of images alone") {
                val model = LearnedInterference(SimLoop(SimTime()))
                val unknown = model.safePercent(WEB, INDEX)
                model.onNear(WEB, BATCH, percent = 30)
                model.safePercent(WEB, BATCH) shouldBeLessThan 30.0
                model.safePercent(API, BATCH) shouldBe unknown
                model.safePercent(WEB, INDEX) shouldBe unknown
            }

            // Guards against a limit that outlasts its cause: disturbances change within seconds.
            it("counts less as time passes") {
                val time = SimTime()
                val model = LearnedInterference(SimLoop(time))
                model.onNear(WEB, BATCH, percent = 30)
                val before = model.safePercent(WEB, BATCH)
                time.runUntil(time.nowMs + 10_000)
                model.safePercent(WEB, BATCH) shouldBeGreaterThan before
                time.runUntil(time.nowMs + 1_000_000)
                model.safePercent(WEB, BATCH) shouldBe FULL_PERCENT.toDouble()
            }
        }
        describe("a tail with slack") {
            it("raises the limit to the pace that was seen, and never lowers it") {
                val model = LearnedInterference(SimLoop(SimTime()))
                model.onSlack(WEB, BATCH, percent = 80)
                model.onSlack(WEB, BATCH, percent = 10)
                model.safePercent(WEB, BATCH) shouldBe 80.0
            }
        }
    })
