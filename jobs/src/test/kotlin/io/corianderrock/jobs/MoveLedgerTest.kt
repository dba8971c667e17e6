/*
 * Covers instances that are moved while demand rotates between pools in peaks of 4.5 s: a move that joins after the peak, runs
 * nothing, or is undone at once must be visible as one that served no caller.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.fleet.InstanceView
import io.corianderrock.jobs.fleet.MoveLedger
import io.corianderrock.jobs.fleet.PoolNeed
import io.corianderrock.jobs.fleet.PoolState
import io.corianderrock.jobs.ports.Instance
import io.corianderrock.jobs.ports.InstanceOrderAnswer
import io.corianderrock.jobs.ports.InstanceState
import io.corianderrock.jobs.ports.WorkerEntry
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobRun
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.state.TaskPhase
import io.corianderrock.jobs.state.WorkerView
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.maps.shouldContainAll

private val NEED = PoolNeed(10, 0, 0, 0.0, 0.0)
private const val JOIN_MS = 1_900L
private const val TICK_MS = 100L
private const val PEAK_MS = 4_500L

/** One instance that is ordered to the pool `peak`, with the outcomes that the ledger has logged. */
private class LedgerScene {
    private val time = SimTime()
    private val loop = SimLoop(time)
    private val view = InstanceView(Instance("m", "idle", InstanceState.UP, "dc", emptyList(), Demand(16_000), null))
    private val worker = WorkerView(WorkerEntry("w", "w", "peak", "dc", "m", Demand(16_000), emptyList(), false, null, 0))
    val outcomes = ArrayList<Map<String, Any?>>()
    val ledger =
        MoveLedger(loop, { event, fields ->
            if (event == "move_outcome") outcomes.add(fields.toList().chunked(2).associate { (key, value) -> key.toString() to value })
        }) { worker.takeIf { view.instance.workerId != null } }

    fun order(isForCurrentWork: Boolean = true) {
        view.isOrdered = true
        val state = PoolState("peak", NEED, emptyList(), emptyList(), missing = 10, missingWithForecast = 10, idleCount = 0, surplus = 0)
        ledger.onOrdered("m", "idle", state, isForCurrentWork)
    }

    fun answer(answer: InstanceOrderAnswer) {
        ledger.onAnswered("m", answer)
        view.isOrdered = false
        if (answer is InstanceOrderAnswer.Accepted) view.instance = view.instance.copy(pool = "peak", state = InstanceState.MOVING)
    }

    fun join() {
        view.instance = view.instance.copy(state = InstanceState.UP, workerId = "w")
        worker.isReconciled = true
    }

    fun run() {
        val job = JobRun(JobSubmission("j", Queue("q", "peak"), "", listOf(Step(1))), isInherited = false, acceptedAtMs = loop.nowMs)
        val task =
            job
                .addOccurrence(0, loop.nowMs)
                .steps
                .single()
                .tasks
                .single()
        task.phase = TaskPhase.RUNNING
        worker.addRun(task)
    }

    fun pass(durationMs: Long) {
        repeat((durationMs / TICK_MS).toInt()) {
            time.runUntil(time.nowMs + TICK_MS)
            ledger.tick { view }
        }
    }
}

private fun outcomeOf(play: LedgerScene.() -> Unit): Map<String, Any?> = LedgerScene().apply(play).outcomes.single()

internal class MoveLedgerTest :
    DescribeSpec({
        describe("a move into a pool at its peak") {
            it("has served when the instance runs work before the peak ends, and is evaluated once") {
                val outcome =
                    outcomeOf {
                        order()
                        answer(InstanceOrderAnswer.Accepted)
                        pass(JOIN_MS)
                        join()
                        pass(TICK_MS)
                        run()
                        pass(2 * PEAK_MS)
                    }
                outcome shouldContainAll
                    mapOf(
                        "instance" to "m",
                        "pool" to "peak",
                        "from" to "idle",
                        "orderedForCurrentWork" to true,
                        "wantedInstances" to 10,
                        "joinedAfterMs" to JOIN_MS + TICK_MS,
                        "firstRunAfterMs" to JOIN_MS + 2 * TICK_MS,
                        "served" to "true",
                    )
            }
            it("has served nothing when the instance joins after the peak") {
                outcomeOf {
                    order()
                    answer(InstanceOrderAnswer.Accepted)
                    pass(PEAK_MS + TICK_MS)
                    join()
                    run()
                    pass(PEAK_MS)
                } shouldContainAll mapOf("served" to "false", "reason" to "not_joined", "firstRunAfterMs" to null)
            }
            it("has served nothing when the instance stays idle") {
                outcomeOf {
                    order()
                    answer(InstanceOrderAnswer.Accepted)
                    pass(JOIN_MS)
                    join()
                    pass(PEAK_MS)
                } shouldContainAll mapOf("served" to "false", "reason" to "no_run", "joinedAfterMs" to JOIN_MS + TICK_MS)
            }
            it("has served nothing when the instance is ordered elsewhere before it runs anything") {
                outcomeOf {
                    order()
                    answer(InstanceOrderAnswer.Accepted)
                    pass(JOIN_MS)
                    join()
                    pass(TICK_MS)
                    ledger.onLeaving("m")
                    pass(2 * PEAK_MS)
                } shouldContainAll mapOf("served" to "false", "reason" to "left")
            }
        }
        describe("a move for a forecast peak") {
            // Guards against counting the time before the expected start as part of the peak.
            it("has served when the instance runs work in a peak that starts as late as forecast") {
                outcomeOf {
                    order(isForCurrentWork = false)
                    answer(InstanceOrderAnswer.Accepted)
                    pass(JOIN_MS)
                    join()
                    pass(PEAK_MS - JOIN_MS + TICK_MS)
                    run()
                    pass(TICK_MS)
                } shouldContainAll mapOf("served" to "true", "orderedForCurrentWork" to false)
            }
        }
        describe("an order") {
            it("that is refused is no move") {
                val scene = LedgerScene()
                scene.order()
                scene.answer(InstanceOrderAnswer.Refused("draining"))
                scene.pass(2 * PEAK_MS)
                scene.outcomes.shouldBeEmpty()
            }
            it("without an answer has an unknown outcome unless the instance joins") {
                outcomeOf {
                    order()
                    answer(InstanceOrderAnswer.Unanswered("timeout"))
                    pass(2 * PEAK_MS)
                } shouldContainAll mapOf("served" to "unknown", "reason" to "unknown")
            }
            it("whose instance is not listed any more has an unknown outcome") {
                val scene = LedgerScene()
                scene.order()
                scene.answer(InstanceOrderAnswer.Accepted)
                scene.ledger.tick { null }
                scene.outcomes.map { it["served"] } shouldContainExactly listOf("unknown")
            }
        }
    })
