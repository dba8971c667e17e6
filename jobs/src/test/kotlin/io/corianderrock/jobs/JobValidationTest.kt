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
