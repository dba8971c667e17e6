/*
 * A job that ends while the start of one of its tasks is on its way to a worker.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.OwnerOfOneWorker.Companion.IN_FLIGHT_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.ORDER_TIMEOUT_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.SETTLE_MS
import io.corianderrock.jobs.ports.RunningRow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.nulls.shouldBeNull

/** Longer than a worker may delay the answer to a hold, so that a list comes before the answer to the start. */
private const val ANSWER_AFTER_LIST_MS = 650L

internal class CancelledStartTest :
    DescribeSpec({
        describe("a job that is cancelled while a start is on its way") {
            // Guards against a stop that is left to the start's answer, which finds nothing to do once a list has shown the run (UNASKED).
            for ((answer, prepare) in START_ANSWERS) {
                it("has its run stopped if a list shows it and $answer (UNASKED)") {
                    val owner = OwnerOfOneWorker().apply(prepare)
                    owner.startTask()
                    owner.waitUntil { owner.starts.isNotEmpty() }
                    val run = owner.task.runNumber
                    owner.cancelJob()
                    owner.runningRows = listOf(RunningRow(owner.task.id, run, checkpoint = "", percent = 100))
                    owner.pass(ORDER_TIMEOUT_MS + IN_FLIGHT_MS)
                    owner.stoppedRuns shouldContain run
                }
            }

            // Guards against a stop that waits for an answer or a timeout while the run goes on.
            it("has its run stopped at once") {
                val owner = OwnerOfOneWorker()
                owner.areStartAnswersLost = true
                owner.startTask()
                owner.waitUntil { owner.starts.isNotEmpty() }
                owner.cancelJob()
                owner.stoppedRuns shouldContain owner.task.runNumber
            }

            // Guards against a place on the worker that stays occupied by a run that the stop has kept from beginning.
            it("frees its place once the worker lists no run") {
                val owner = OwnerOfOneWorker()
                owner.startAnswerDelayMs = ANSWER_AFTER_LIST_MS
                owner.startTask()
                owner.waitUntil { owner.starts.isNotEmpty() }
                owner.cancelJob()
                owner.pass(2 * SETTLE_MS)
                owner.task.worker.shouldBeNull()
            }
        }
    })

/** What becomes of the answer to a start, and how an owner's worker is set up for it. */
private val START_ANSWERS =
    mapOf<String, OwnerOfOneWorker.() -> Unit>(
        "the answer comes later" to { startAnswerDelayMs = ANSWER_AFTER_LIST_MS },
        "the answer is lost" to { areStartAnswersLost = true },
    )
