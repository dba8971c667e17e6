/*
 * Covers that a job is reached by its own account only: guards against states that are shown to other accounts and jobs that
 * they cancel, whether the owner answers, a peer forwards the request or the store is read.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.accounts.JobAccess
import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.JobRequest
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.JobWorld
import io.corianderrock.jobs.world.SimEntry
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private val QUEUE = Queue("queue-a", "a", maxAttempts = 3, stretchFactor = 2.0, targetLatencyMs = 600)
private const val OWNER_ASKED_AT_MS = 4_000L
private const val STORE_ASKED_AT_MS = 5_000L

internal class JobAccessTest :
    DescribeSpec({
        describe("a job of an account") {
            it("is found and cancelled by its account alone, through the owner, a peer and the store") {
                val answers = Answers()
                answers.run()
                for (asked in listOf("owner", "peer", "store")) {
                    answers.of("$asked state two") shouldBe CallerAnswer.NotFound
                    answers.of("$asked state public") shouldBe CallerAnswer.NotFound
                    answers.of("$asked cancel two") shouldBe CallerAnswer.NotFound
                    answers.of("$asked state one").shouldBeInstanceOf<CallerAnswer.State>()
                }
                answers.of("store cancel one") shouldBe CallerAnswer.Applied
            }
        }
        describe("a job without an account") {
            it("is found by any call") {
                val answers = Answers(account = null)
                answers.run()
                for (asked in listOf("owner", "peer", "store")) {
                    answers.of("$asked state two").shouldBeInstanceOf<CallerAnswer.State>()
                    answers.of("$asked state public").shouldBeInstanceOf<CallerAnswer.State>()
                }
            }
        }
    })

/** Answers about a job of [account], by who answers, what was asked and for whom. */
private class Answers(
    private val account: String? = "one",
) {
    private val answers = HashMap<String, CallerAnswer>()
    private val accesses = mapOf("one" to JobAccess("one"), "two" to JobAccess("two"), "public" to JobAccess.PUBLIC)
    private val job =
        JobSubmission(
            id = "probe",
            queue = QUEUE,
            spec = "work",
            steps = listOf(Step(1, Demand(500, 500), isLongRunning = true)),
            account = account,
        )

    fun of(question: String): CallerAnswer? = answers[question]

    fun run() {
        JobWorld(1, hasFaults = false, scheduleEvents = { world ->
            world.register(job)
            world.time.after(1_000) { world.entries[0].ask(JobRequest.Submit(job)) {} }
            world.time.after(OWNER_ASKED_AT_MS) {
                val owner = world.entries.first { it.scheduler != null }
                ask("owner", owner)
                ask("peer", world.entries.first { it !== owner })
            }
            world.time.after(STORE_ASKED_AT_MS) {
                val owner = world.entries.first { it.scheduler != null }
                val peer = world.entries.first { it !== owner }
                peer.isPartitionedFromPeers = true
                ask("store", peer)
                world.time.after(CANCEL_DELAY_MS) {
                    peer.ask(JobRequest.Cancel(job.id, QUEUE.name, JobAccess("one"))) {
                        answers["store cancel one"] =
                            it
                    }
                }
                world.time.after(2 * CANCEL_DELAY_MS) { peer.isPartitionedFromPeers = false }
            }
        }).run()
    }

    private fun ask(
        asked: String,
        entry: SimEntry,
    ) {
        for ((name, access) in accesses) {
            entry.ask(JobRequest.State(job.id, QUEUE.name, access)) { answers["$asked state $name"] = it }
            if (account != null && name != account) {
                entry.ask(JobRequest.Cancel(job.id, QUEUE.name, access)) { answers["$asked cancel $name"] = it }
            }
        }
    }

    private companion object {
        /** Longer than the timeout of a request to a peer. */
        const val CANCEL_DELAY_MS = 2_000L
    }
}
