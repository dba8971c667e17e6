/*
 * Covers client accounts that send seven times their usual jobs for some seconds: one alone, three at once, the largest, the
 * seventh in size, and while the owner fails. The jobs of the other accounts must not wait longer for it.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.state.ClientAccount
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobSubmission
import io.corianderrock.jobs.state.Queue
import io.corianderrock.jobs.state.Step
import io.corianderrock.jobs.world.JobWorld
import io.corianderrock.jobs.world.STEADY_SPEC
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan

/** Usual jobs a second of each account; few are large, as at a customer with accounts. */
private val USUAL_JOBS_PER_S = listOf(3.0, 1.5, 1.2, 1.1, 1.0, 0.9, 0.8, 0.7)
private val NAMES = USUAL_JOBS_PER_S.indices.map { "account-$it" }
private const val BURST_FACTOR = 7
private const val LOAD_FROM_MS = 2_000L
private const val BURST_FROM_MS = 5_000L
private const val BURST_TO_MS = 13_000L
private const val LOAD_TO_MS = 15_000L

/** Time within which a killed owner restarts. */
private const val OWNER_DOWN_MS = 2_000L

/** Waits may vary by less than half the run time of one task, since running tasks are not evicted. */
private const val VARIATION_MS = 400.0
private const val SEED = 3

/** The accounts that send more during the burst, and by how much all of the load exceeds [USUAL_JOBS_PER_S]. */
private class Load(
    val bursting: Set<Int>,
    private val scale: Double = 1.0,
) {
    fun usualJobsPerS(account: Int): Double = USUAL_JOBS_PER_S[account] * scale
}

internal class AccountLoadTest :
    DescribeSpec({
        val loads =
            mapOf(
                "the largest account" to Load(setOf(0)),
                "the seventh account in size, of a pool that is nearly full" to Load(setOf(6), scale = 1.4),
                "three accounts at once" to Load(setOf(0, 1, 4)),
            )
        for ((name, load) in loads) {
            describe("seven times the usual jobs of $name") {
                it("do not lengthen the waits of the other accounts") {
                    othersWaitMs(load, isBurst = true) shouldBeLessThan othersWaitMs(load, isBurst = false) + VARIATION_MS
                }
                it("do not lengthen the waits of the other accounts during a takeover") {
                    val calm = othersWaitMs(load, isBurst = false, isOwnerKilled = true)
                    othersWaitMs(load, isBurst = true, isOwnerKilled = true) shouldBeLessThan calm + VARIATION_MS
                }
                // Shows that the load is too much for the pool, so that the tests above depend on the accounts' rules.
                it("lengthen them without the accounts' rules") {
                    val calm = othersWaitMs(load, isBurst = false, enforcesAccounts = false)
                    othersWaitMs(load, isBurst = true, enforcesAccounts = false) shouldBeGreaterThan calm + VARIATION_MS
                }
            }
        }
        describe("the log of an owner during a burst of the largest account") {
            // Guards against reports that the scheduler does not connect, so that no entry ever writes them.
            it("tells the shares of the pool, whom waiting tasks wait behind, and each refusal") {
                val lines = ArrayList<String>()
                othersWaitMs(Load(setOf(0), scale = 1.4), isBurst = true, traces = lines)
                lines.filter { " account_share account account-0 " in it }.shouldNotBeEmpty()
                lines.filter { " task_waits " in it && " holder account-" in it }.shouldNotBeEmpty()
                lines.filter { " account account-0 reason share " in it }.shouldNotBeEmpty()
            }
        }
    })

/** Mean wait of the jobs that the accounts which do not burst submit during the burst of [load]. */
private fun othersWaitMs(
    load: Load,
    isBurst: Boolean,
    enforcesAccounts: Boolean = true,
    isOwnerKilled: Boolean = false,
    traces: MutableList<String>? = null,
): Double {
    val accounts = NAMES.indices.map { ClientAccount(NAMES[it], weight = 1.5 * load.usualJobsPerS(it)) }
    val world =
        JobWorld(
            SEED,
            hasFaults = false,
            accounts = accounts.associateBy { it.name },
            enforcesAccounts = enforcesAccounts,
            scheduleEvents = { world -> schedule(world, load, isBurst, isOwnerKilled) },
            traces = traces,
        )
    world.run().violations.shouldBeEmpty()
    val waitsMs = world.checker.waitsMs { "-during-" in it.id && NAMES.indexOf(it.account) !in load.bursting }
    return waitsMs.average()
}

private fun schedule(
    world: JobWorld,
    load: Load,
    isBurst: Boolean,
    isOwnerKilled: Boolean,
) {
    for (index in NAMES.indices) {
        val usual = load.usualJobsPerS(index)
        var atMs = LOAD_FROM_MS.toDouble()
        var number = 0
        while (atMs < LOAD_TO_MS) {
            val isDuring = atMs.toLong() in BURST_FROM_MS until BURST_TO_MS
            val job = jobOf(index, "${NAMES[index]}-${if (isDuring) "during" else "around"}-${number++}")
            world.time.after(atMs.toLong()) { world.submit(job) }
            atMs += 1_000 / (if (isBurst && isDuring && index in load.bursting) usual * BURST_FACTOR else usual)
        }
    }
    if (isOwnerKilled) {
        world.time.after((BURST_FROM_MS + BURST_TO_MS) / 2) {
            val owner = world.entries.first { it.scheduler != null }
            owner.kill()
            world.time.after(OWNER_DOWN_MS) { owner.boot() }
        }
    }
}

private fun jobOf(
    account: Int,
    id: String,
): JobSubmission {
    val queue = Queue("queue-a", "a", maxAttempts = 3, stretchFactor = 1.6, targetLatencyMs = 600)
    return JobSubmission(id, queue, STEADY_SPEC, listOf(Step(2, Demand(1_000, 500), estimateMs = 1_000)), account = NAMES[account])
}
