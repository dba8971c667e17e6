/*
 * Jobs that would exhaust the owner's memory or corrupt its accounts. Such a job is stored once accepted, so it would take down
 * one owner after the other.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.string.shouldContain

private val DEMAND = Demand(500, 256)
private val STEPS = listOf(Step(1, DEMAND))

internal class JobValidationTest :
    DescribeSpec({
        describe("a job is refused") {
            it("with more tasks than an owner can hold") {
                job(listOf(Step(Int.MAX_VALUE, DEMAND))).validationError().shouldNotBeNull() shouldContain "submit several jobs"
            }
            it("with more tasks than that over all its steps, without overflowing their sum") {
                job(List(40) { Step(Int.MAX_VALUE, DEMAND) }).validationError().shouldNotBeNull() shouldContain "submit several jobs"
            }
            it("with more tasks than that over all its times") {
                job(listOf(Step(8, DEMAND)), times = 1_000_000_000).validationError().shouldNotBeNull() shouldContain "submit several jobs"
            }
            // Guards against a number of tasks that overflows to a negative one, which passes each limit and ends every owner (LOST).
            it("with a number of tasks that does not fit into 64 bits") {
                val steps = List(3) { Step(Int.MAX_VALUE, DEMAND) }
                job(steps, times = Int.MAX_VALUE).validationError().shouldNotBeNull() shouldContain "submit several jobs"
            }
            // Guards against numbers whose sums and products overflow where a job is scheduled.
            it("with any number up to its type's limit, which the reason names with its field") {
                val whole =
                    mapOf(
                        "TIMES" to job(STEPS, times = Int.MAX_VALUE),
                        "INTERVAL_MS" to job(STEPS).copy(intervalMs = Long.MAX_VALUE),
                        "FIRST_DUE_WALL_MS" to job(STEPS).copy(firstDueWallMs = Long.MAX_VALUE),
                    )
                val ofStep =
                    mapOf(
                        "TASK_COUNT" to Step(Int.MAX_VALUE),
                        "CPU_MILLI" to Step(1, Demand(Int.MAX_VALUE)),
                        "MEMORY_MB" to Step(1, Demand(memoryMb = Int.MAX_VALUE)),
                        "GPU_COUNT" to Step(1, Demand(gpuCount = Int.MAX_VALUE)),
                        "ESTIMATE_MS" to Step(1, estimateMs = Long.MAX_VALUE),
                        "MAX_PER_WORKER" to Step(1, maxPerWorker = Int.MAX_VALUE),
                        "RESPONSE_TARGET_MS" to Step(1, responseTargetMs = Long.MAX_VALUE),
                        "MAX_UNAVAILABLE" to Step(1, maxUnavailable = Int.MAX_VALUE),
                    ).mapValues { (_, step) -> job(listOf(Step(1), step)) }
                for ((name, job) in whole + ofStep) {
                    val reason = job.validationError().shouldNotBeNull()
                    reason shouldContain Regex("^(steps\\[1]\\.)?$name is \\d+; at most \\d+ is allowed")
                }
            }
            it("with a negative demand, which would add to the free capacity of its worker") {
                for (demand in listOf(Demand(-1, 256), Demand(500, -1), Demand(500, 256, -1))) {
                    job(listOf(Step(1, demand))).validationError().shouldNotBeNull() shouldContain "negative"
                }
            }
            it("with negative times") {
                job(listOf(Step(1, DEMAND)), times = -1).validationError().shouldNotBeNull() shouldContain "negative"
            }
        }
        describe("a job is valid") {
            it("with thousands of tasks") {
                job(listOf(Step(4_000, DEMAND), Step(4_000, DEMAND, after = listOf(0)))).validationError().shouldBeNull()
            }
        }
    })

private fun job(
    steps: List<Step>,
    times: Int = 0,
): JobSubmission = JobSubmission("id", Queue("queue", "pool"), "work", steps, times = times, intervalMs = 1_000)
