/*
 * What an owner takes for the end of a worker or of its runs, beside the lists of the worker. Guards against runs that count as ended
 * while they go on, so that their tasks are started elsewhere (TWICE).
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.ports.RunningRow
import io.corianderrock.jobs.ports.StartRefusal
import io.corianderrock.jobs.ports.WorkerAnswer
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.runs.WorkerLeaseRow
import io.corianderrock.jobs.state.Demand
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

internal class InferredEndTest :
    DescribeSpec({
        describe("a 421 answer") {
            // Guards against a row of another writer under the id of a worker, whose address belongs to another one (TWICE).
            it("does not end a worker that has not answered at that address (TWICE)") {
                val owner = ownerOfRun()
                owner.onHold = { entry, _ -> if (entry.id == "w0" && entry.address == "w1") OTHER_WORKER else null }
                owner.driver.onListed(owner.foreignRow(address = "w1"))
                owner.passTicking(SILENT_MS)
                owner.tasks[0].worker?.id shouldBe "w0"
            }

            // Guards against an answer from the address of a row that the worker's own has replaced since (TWICE).
            it("does not end a worker whose own row is back before it (TWICE)") {
                val owner = ownerOfRun()
                owner.onHold = { entry, _ -> if (entry.address == "w1") ANSWERED_MS to OTHER_WORKER.second else null }
                owner.driver.onListed(owner.foreignRow(address = "w1"))
                owner.pass(ANSWERED_MS / 2)
                owner.driver.onListed(owner.entry(0).copy(bornWallMs = owner.time.nowMs))
                owner.passTicking(SILENT_MS)
                owner.tasks[0].worker?.id shouldBe "w0"
            }

            // Guards against tasks that wait for the lease of a worker whose address has another one (LOST).
            it("ends the worker that has answered at that address (LOST)") {
                val owner = ownerOfRun()
                owner.onHold = { entry, _ -> if (entry.id == "w0") OTHER_WORKER else null }
                owner.passTicking(SILENT_MS)
                owner.tasks[0].worker.shouldBeNull()
            }
        }
        describe("two lists of instances") {
            // Guards against a row of another writer under the id of a worker that names the instance of another one (TWICE).
            it("do not end a worker by an instance on which it has not answered (TWICE)") {
                val owner = ownerOfRun()
                owner.onHold = { entry, _ -> if (entry.address == NOWHERE) NOT_REACHED else null }
                owner.driver.onListed(owner.foreignRow(address = NOWHERE, instanceId = "i1"))
                owner.listTwice(listOf(instance(0), instance(1)))
                owner.tasks[0].worker?.id shouldBe "w0"
            }

            // Guards against a list whose answer is slow and that tells of the incarnation before the one that has begun a run (TWICE).
            it("do not end a worker that has begun a run since they were requested (TWICE)") {
                val owner = OwnerOfScriptedWorkers()
                val listed = listOf(instance(0).copy(state = InstanceState.DOWN, workerId = null))
                owner.onHold = { _, _ -> NOT_REACHED }
                val requestedAtMs = owner.time.nowMs
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.pass(ANSWERED_MS)
                repeat(2) { owner.driver.onInstancesListed(listed, requestedAtMs) }
                owner.tasks[0].worker?.id shouldBe "w0"
            }
        }
        describe("an instance that is listed as up without the id of a worker") {
            // Guards against an inherited worker whose runs count as ended by a field that the list lacks (TWICE).
            it("does not end an inherited worker (TWICE)") {
                val owner = OwnerOfScriptedWorkers()
                owner.onHold = { _, _ -> NOT_REACHED }
                val lease = WorkerLeaseRow("w9", "w9", "pool", bornWallMs = 5, storedEnd = 0, instanceId = "i9")
                owner.driver.inherit(listOf(lease), owner.time.nowMs + LONGEST_LEASE_MS)
                owner.driver.onInstanceListed("i9", workerId = null)
                owner.driver.isReconciling("pool").shouldBeTrue()
            }
        }
        describe("the lease of a worker that has started again") {
            // Guards against a run that a late start has begun under the longest lease, as its clock began anew (TWICE).
            it("may be the longest one when the worker answers first (TWICE)") {
                val owner = ownerOfRun()
                val bornWallMs = owner.time.nowMs
                val startedAtMs = owner.time.nowMs
                var answers = 2
                owner.onHold = { _, _ ->
                    val lists = WorkerAnswer.Listed(owner.time.nowMs - startedAtMs, bornWallMs, owner.running["w0"].orEmpty(), emptyList())
                    if (answers-- > 0) 1L to lists else NOT_REACHED
                }
                owner.passUntil { answers <= 0 }
                owner.passTicking(LONGEST_LEASE_MS)
                owner.tasks[0].worker?.id shouldBe "w0"
            }
        }
        describe("a later row that names the instance of a worker") {
            // Guards against a row of another writer under the id of a sound worker that names the instance of another one (TWICE).
            it("does not end a worker that answers (TWICE)") {
                val owner = ownerOfRun()
                owner.driver.onListed(owner.entry(1).copy(instanceId = "i0", bornWallMs = owner.time.nowMs))
                owner.passTicking(SILENT_MS)
                owner.tasks[0].worker?.id shouldBe "w0"
            }
        }
        describe("the first answer of an earlier worker of an instance, whose clock was ahead") {
            // Guards against an answer that is on its way while the next worker of the instance joins and begins a run (TWICE).
            it("does not end the worker that has answered since that was sent for (TWICE)") {
                val owner = OwnerOfScriptedWorkers()
                val earlier = owner.entry(1).copy(instanceId = "i0", bornWallMs = owner.time.nowMs)
                val lists = WorkerAnswer.Listed(workerClockMs = 1, earlier.bornWallMs, running = emptyList(), ended = emptyList())
                owner.onHold = { entry, _ -> if (entry.id == "w1") SILENT_MS to lists else null }
                owner.driver.onListed(earlier)
                owner.driver.start(owner.tasks[0], owner.worker())
                owner.passTicking(SILENT_MS + ANSWERED_MS)
                owner.tasks[0].worker?.id shouldBe "w0"
            }
        }
        describe("a row with a later start by another writer") {
            // Guards against a sound worker whose own rows count as outdated until the owner changes, so that its runs lapse (LOST).
            it("gives way to the row of the worker, whose run goes on (LOST)") {
                val owner = ownerOfRun()
                owner.onHold = { entry, _ -> if (entry.address == NOWHERE) NOT_REACHED else null }
                owner.driver.onListed(owner.foreignRow(address = NOWHERE))
                owner.passTicking(SILENT_MS)
                owner.driver.onListed(owner.entry(0))
                owner.passTicking(2 * LONGEST_LEASE_MS)
                owner.tasks[0].worker?.id shouldBe "w0"
                owner.worker().isReconciled.shouldBeTrue()
            }
        }
    })

private const val LONGEST_LEASE_MS = 6_000L

/** In this time a start and a first hold are answered. */
private const val ANSWERED_MS = 200L

/** Longer than a hold takes, and shorter than a lease. */
private const val SILENT_MS = 1_000L

/** An address at which nothing answers. */
private const val NOWHERE = "nowhere"
private val NOT_REACHED = 1L to WorkerAnswer.Unanswered("connection refused", mayBeCarriedOut = false)
private val OTHER_WORKER = 1L to WorkerAnswer.Refused(StartRefusal.OTHER_INCARNATION, workerClockMs = null)

/** An owner of two workers, the first of which has a run that it lists. */
private fun ownerOfRun(): OwnerOfScriptedWorkers {
    val owner = OwnerOfScriptedWorkers(workerCount = 2)
    owner.driver.start(owner.tasks[0], owner.worker())
    owner.pass(ANSWERED_MS)
    owner.running["w0"] = listOf(RunningRow(owner.tasks[0].id, owner.tasks[0].runNumber, checkpoint = "", percent = 100))
    owner.passTicking(SILENT_MS)
    owner.tasks[0].worker?.id shouldBe "w0"
    return owner
}

/** A whole row by another writer under the id of the first worker. */
private fun OwnerOfScriptedWorkers.foreignRow(
    address: String,
    instanceId: String = "i0",
): WorkerEntry = entry(0).copy(address = address, instanceId = instanceId, bornWallMs = time.nowMs)

private fun OwnerOfScriptedWorkers.listTwice(instances: List<Instance>) =
    repeat(2) {
        passTicking(ANSWERED_MS)
        val requestedAtMs = time.nowMs
        passTicking(ANSWERED_MS)
        driver.onInstancesListed(instances, requestedAtMs)
    }

private fun instance(index: Int) =
    Instance("i$index", "pool", InstanceState.UP, "dc", emptyList(), Demand(8_000, 32_000), workerId = "w$index")
