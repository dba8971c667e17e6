/*
 * What an owner does with the runs, ends and rows of a worker that ended and started again under its id.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.OwnerOfOneWorker.Companion.EARLIER_OWNERS_RUN
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.INSTANCE
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.IN_FLIGHT_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.LAST_END
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.LATEST_ORDER_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.ORDER_TIMEOUT_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.POOL
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.SETTLE_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.START_GIVEN_UP_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.STOP_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.TICK_MS
import io.corianderrock.jobs.OwnerOfOneWorker.Companion.WORKER
import io.corianderrock.jobs.ports.EndKind
import io.corianderrock.jobs.ports.EndRow
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.runs.WorkerLeaseRow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

/** Longer than any lease of the worker and any delay of an order together. */
private const val LONG_MS = 40_000L

internal class RestartedWorkerTest :
    DescribeSpec({
        describe("a restart that the owner has seen") {
            describe("a task whose start had no answer") {
                // Guards against a task that waits for good for a run that ended with the last incarnation (LOST).
                it("is freed if the last incarnation listed its run and the new one does not (LOST)") {
                    val owner = OwnerOfOneWorker()
                    owner.areStartAnswersLost = true
                    owner.startTask()
                    owner.runningRows = listOf(RunningRow(owner.task.id, owner.task.runNumber, checkpoint = "", percent = 100))
                    owner.pass(ANSWER_MS + ORDER_TIMEOUT_MS + 1_000)
                    owner.runningRows = emptyList()
                    owner.startAgain()
                    owner.passTicking(LONG_MS)
                    owner.task.worker.shouldBeNull()
                }

                // Guards against a late start in the new incarnation once the owner follows another run of the task (TWICE).
                it("is stopped until a stop is answered if the new incarnation lists another run (TWICE)") {
                    val owner = OwnerOfOneWorker()
                    owner.areStartAnswersLost = true
                    owner.areStopAnswersLost = true
                    owner.startTask()
                    val run = owner.task.runNumber
                    owner.pass(ANSWER_MS + ORDER_TIMEOUT_MS + IN_FLIGHT_MS)
                    owner.runningRows = listOf(RunningRow(owner.task.id, EARLIER_OWNERS_RUN, checkpoint = "", percent = 100))
                    owner.startAgain()
                    owner.areStopAnswersLost = false
                    owner.runningRows = emptyList()
                    owner.passTicking(5_000)
                    owner.answeredStops shouldContain run
                }

                // Guards against a task that is freed by the end of the listed run while its own start may still arrive (TWICE).
                it("is not freed by the end of an earlier run before its own run is stopped (TWICE)") {
                    val owner = OwnerOfOneWorker()
                    owner.areStartAnswersLost = true
                    owner.startTask()
                    val run = owner.task.runNumber
                    owner.waitUntil { owner.starts.isNotEmpty() }
                    owner.areStopAnswersLost = true
                    owner.runningRows = listOf(RunningRow(owner.task.id, EARLIER_OWNERS_RUN, checkpoint = "", percent = 100))
                    owner.startAgain()
                    owner.passTicking(2_000)
                    owner.areStopAnswersLost = false
                    owner.endedRows = listOf(EndRow(1, owner.task.id, EARLIER_OWNERS_RUN, EndKind.FAILED, checkpoint = ""))
                    owner.runningRows = emptyList()
                    owner.passTicking(3_000)
                    (owner.task.worker != null || run in owner.answeredStops) shouldBe true
                }

                // Guards against a run that counts as started by an answer of the last incarnation (LOST).
                it("is freed if the last incarnation's answer comes after the new one's list (LOST)") {
                    val owner = OwnerOfOneWorker()
                    owner.startAnswerDelayMs = 2 * SETTLE_MS
                    owner.startTask()
                    owner.waitUntil { owner.starts.isNotEmpty() }
                    owner.startAgain()
                    owner.passTicking(LONG_MS)
                    owner.task.worker.shouldBeNull()
                }

                // Guards against a stopped run that the new incarnation lists and that holds its task after it is gone (LOST).
                it("is freed once the new incarnation no longer lists its stopped run (LOST)") {
                    val owner = OwnerOfOneWorker()
                    owner.areStartAnswersLost = true
                    owner.areStopAnswersLost = true
                    owner.startTask()
                    val run = owner.task.runNumber
                    owner.pass(ANSWER_MS + START_GIVEN_UP_MS + STOP_MS)
                    owner.stoppedRuns shouldContain run
                    owner.runningRows = listOf(RunningRow(owner.task.id, run, checkpoint = "", percent = 100))
                    owner.startAgain()
                    owner.areStopAnswersLost = false
                    owner.runningRows = emptyList()
                    owner.passTicking(LONG_MS)
                    owner.task.worker.shouldBeNull()
                }
            }
            describe("a task that was at work") {
                // Guards against a run of the last incarnation that counts as going on after the worker's clock was set back (LOST).
                it("is freed if the new incarnation tells an earlier start than the last one (LOST)") {
                    val owner = OwnerOfOneWorker()
                    owner.startTask()
                    owner.pass(4 * ANSWER_MS)
                    owner.bornWallMs -= 1_000
                    owner.driver.onListed(owner.entry())
                    owner.passTicking(60_000)
                    owner.task.worker.shouldBeNull()
                }

                // Guards against evictions beyond maxUnavailable that count a run the new incarnation may not have as available.
                it("does not count as available before the new incarnation has answered (too many unavailable)") {
                    val owner = OwnerOfOneWorker(failedHoldMs = 350)
                    owner.startTask()
                    owner.runningRows = listOf(RunningRow(owner.task.id, owner.task.runNumber, checkpoint = "", percent = 100))
                    owner.pass(4 * ANSWER_MS + 3_000)
                    owner.startAgainUnreached()
                    val worker = owner.driver.find(WORKER)
                    (owner.task.isAtWork && worker?.consecutiveLostHolds == 0) shouldBe false
                }
            }
            describe("the ends of the new incarnation") {
                // Guards against ends that the worker lists for good, as their numbers are below the last incarnation's (unbounded list).
                it("are acknowledged after a hold with the last incarnation's acknowledgement met it (unbounded list of ends)") {
                    val owner = OwnerOfOneWorker()
                    owner.startTask()
                    owner.pass(4 * ANSWER_MS)
                    owner.endedRows = listOf(EndRow(LAST_END, owner.task.id, owner.task.runNumber, EndKind.STOPPED, checkpoint = ""))
                    owner.waitUntil { owner.driver.find(WORKER)?.processedEnd == LAST_END }
                    owner.bornWallMs = owner.time.nowMs
                    owner.endedRows = emptyList()
                    owner.waitUntil { LAST_END in owner.acknowledgements }
                    owner.pass(SETTLE_MS)
                    owner.acknowledgements.clear()
                    owner.startTask()
                    owner.pass(4 * ANSWER_MS)
                    owner.endedRows = listOf(EndRow(1, owner.task.id, owner.task.runNumber, EndKind.STOPPED, checkpoint = ""))
                    owner.passTicking(5_000)
                    owner.acknowledgements shouldContain 1L
                }
            }
            describe("an older row that arrives late") {
                // Guards against orders to the address of the last incarnation, so that the new one loses its lease (LOST).
                it("does not replace the row of the same id (LOST)") {
                    val owner = OwnerOfOneWorker()
                    val old = owner.entry()
                    owner.startTask()
                    owner.pass(4 * ANSWER_MS)
                    owner.startAgain()
                    owner.driver.onListed(old.copy(address = "other"))
                    owner.driver
                        .find(WORKER)
                        ?.entry
                        ?.address shouldBe WORKER
                }

                // Guards against runs that are started again because a dead worker is taken for the one of the instance (TWICE).
                it("does not replace the worker that started later on the same instance (TWICE)") {
                    val owner = OwnerOfOneWorker()
                    val old = owner.entry().copy(id = "dead", bornWallMs = owner.bornWallMs - 10_000)
                    owner.driver.onListed(old)
                    owner.driver.listedOn(INSTANCE)?.id shouldBe WORKER
                }
            }
        }
        describe("a restart that nobody has seen") {
            // Guards against a task started elsewhere while the start may arrive late at an incarnation not seen yet (TWICE).
            it("keeps a task on a silent worker while its start may arrive late (TWICE)") {
                val owner = OwnerOfOneWorker()
                owner.areStartAnswersLost = true
                owner.areStopAnswersLost = true
                owner.startTask()
                owner.waitUntil { owner.starts.isNotEmpty() }
                val sentAtMs = owner.time.nowMs
                owner.isUp = false
                while (owner.task.worker != null && owner.time.nowMs - sentAtMs < LONG_MS) owner.passTicking(TICK_MS)
                (owner.time.nowMs - sentAtMs > LATEST_ORDER_MS) shouldBe true
            }

            // Guards against an owner that starts tasks while starts of the last owner may arrive at an inherited worker (TWICE).
            it("keeps a pool reconciling while an inherited worker may take late starts of the last owner (TWICE)") {
                val owner = OwnerOfOneWorker()
                owner.isUp = false
                val deadlineMs = owner.time.nowMs + 6_000
                owner.driver.inherit(listOf(WorkerLeaseRow("w2", "w2", POOL, bornWallMs = 5, storedEnd = 0, instanceId = "i2")), deadlineMs)
                owner.driver.onListed(
                    owner.entry().copy(id = "w2", address = "w2", instanceId = "i2", bornWallMs = owner.time.nowMs),
                )
                while (owner.driver.isReconciling(POOL) && owner.time.nowMs < deadlineMs + LONG_MS) owner.passTicking(TICK_MS)
                (owner.time.nowMs - deadlineMs > LATEST_ORDER_MS) shouldBe true
            }

            // Guards against the same where discovery lists the new incarnation before the rows of the last owner are read (TWICE).
            it("keeps a pool reconciling if the restarted worker was listed before it was inherited (TWICE)") {
                val owner = OwnerOfOneWorker()
                owner.isUp = false
                val deadlineMs = owner.time.nowMs + 6_000
                owner.driver.onListed(
                    owner.entry().copy(id = "w2", address = "w2", instanceId = "i2", bornWallMs = owner.time.nowMs),
                )
                owner.driver.inherit(listOf(WorkerLeaseRow("w2", "w2", POOL, bornWallMs = 5, storedEnd = 0, instanceId = "i2")), deadlineMs)
                while (owner.driver.isReconciling(POOL) && owner.time.nowMs < deadlineMs + LONG_MS) owner.passTicking(TICK_MS)
                (owner.time.nowMs - deadlineMs > LATEST_ORDER_MS) shouldBe true
            }

            // Guards against a late start on a worker whose removal made the owner forget the start (TWICE).
            it("has a start rejected that may arrive late at a worker that was removed and starts again (TWICE)") {
                val owner = OwnerOfOneWorker()
                owner.areStartAnswersLost = true
                owner.areStopAnswersLost = true
                owner.startTask()
                val run = owner.task.runNumber
                owner.waitUntil { owner.starts.isNotEmpty() }
                owner.isUp = false
                owner.driver.onUnlisted(WORKER)
                owner.passTicking(5_000)
                owner.startAgain()
                owner.passTicking(1_000)
                owner.rejectsLateStart(run) shouldBe true
            }
        }
    })
