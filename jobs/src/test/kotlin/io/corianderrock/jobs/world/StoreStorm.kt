/*
 * Histories of a store with rates whose faults come in series and overlap: lost and late answers, slowness, an outage, an owner that is
 * lost and entries that are stopped in turn. What happens to the ownership is recorded until long after the last fault.
 */
package io.corianderrock.jobs.world

import io.corianderrock.jobs.ownership.OwnerRow
import io.corianderrock.jobs.ports.RowChange
import kotlin.random.Random

/** What a history of [StoreStorm] has shown. */
internal data class StormRecord(
    val seed: Int,
    /** The longest time for which the store was sound and nobody owned. It is sound once it has carried out what it took during faults. */
    val longestSoundWithoutOwnerMs: Long,
    /** Time from the return of the store, after the last fault, until an entry owned; null if one did all the time. */
    val takenAfterMs: Long?,
    /** Time that the store needed after its last fault for what it had taken until then, beyond what it lets wait. */
    val backlogMs: Long,
    /** Most claims that all entries together sent in a second, leaving out the first second of the claims on each stored row. */
    val mostClaimsPerS: Int,
    val claimCount: Int,
    val violations: List<String>,
    /** For how long the store, without a fault, had more waiting than it lets wait. */
    val behindMs: Long,
    /** Transactions of entries around the owner that were carried out, and those of them that changed nothing. */
    val callersCount: Int,
    val wastedCount: Int,
    /** Jobs of [StormCallers] that an entry has accepted. */
    val acceptedCount: Int,
)

/** [entryCount] entries share a store of few transactions a second, as hundreds do at a site. */
internal class StoreStorm(
    private val seed: Int,
    private val rates: StoreRates,
    private val entryCount: Int = 6,
    private val traces: MutableList<String>? = null,
    private val isBudgeted: Boolean = false,
    /** Jobs that callers send during the faults beside those of each world. */
    private val jobCount: Int = 0,
) {
    private val random = Random(seed * 31L)

    /** When each version of the owner row was claimed first. */
    private val firstClaimsMs = HashMap<Long, Long>()
    private val laterClaimsMs = ArrayList<Long>()
    private var claimCount = 0
    private var faultsOverAtMs = 0L
    private var soundWithoutOwnerSinceMs: Long? = null
    private var longestSoundWithoutOwnerMs = 0L
    private var takenAtMs: Long? = null

    /** When the store has carried out what it took until the last fault ended. */
    private var soundAtMs = 0L
    private var behindMs = 0L
    private var callers: StormCallers? = null
    private var wasOwnedAtReturn = true

    /** True while the store serves some entries and not others, or none. */
    private var turnsEntriesAway = false
    private var mostClaimsPerS = 0

    fun run(): StormRecord {
        val world = JobWorld(seed, hasFaults = false, entryCount = entryCount, scheduleEvents = ::begin, traces = traces)
        val checker = world.run()
        return StormRecord(
            seed,
            longestSoundWithoutOwnerMs,
            if (wasOwnedAtReturn) null else (takenAtMs ?: world.time.nowMs) - soundAtMs,
            soundAtMs - faultsOverAtMs,
            mostClaimsPerS,
            claimCount,
            checker.violations,
            behindMs,
            world.store.callersCount,
            world.store.wastedCount,
            callers?.acceptedCount ?: 0,
        )
    }

    private fun begin(world: JobWorld) {
        world.store.load = StoreLoad(world.time, rates)
        if (isBudgeted) world.store.budget = SimBudget(rates.told(), entryCount)
        if (jobCount > 0) callers = StormCallers(world, Random(seed * 37L), jobCount, CALLERS_MS)
        world.store.onCommitSent = { _, change -> onCommitSent(world, change) }
        loseAnswers(world, at(2_000, 4_000))
        slowDown(world, at(4_000, 7_000))
        after(world, at(4_000, 9_000)) { loseOwner(world) }
        stopInTurn(world, at(7_000, 9_000))
        takeDown(world, at(9_000, 12_000))
        watch(world)
    }

    private fun at(
        fromMs: Long,
        untilMs: Long,
    ) = random.nextLong(fromMs, untilMs)

    private fun loseAnswers(
        world: JobWorld,
        startMs: Long,
    ) {
        val ratio = random.nextDouble(0.2, 0.9)
        after(world, startMs) { world.store.lostAnswerRatio = ratio }
        after(world, startMs + random.nextLong(1_000, 7_000)) { world.store.lostAnswerRatio = 0.0 }
    }

    private fun slowDown(
        world: JobWorld,
        startMs: Long,
    ) {
        // A transaction takes up to 270 ms, as on days with a slow store.
        val factor = random.nextDouble(4.0, 16.0)
        after(world, startMs) { world.store.load?.slowFactor = factor }
        after(world, startMs + random.nextLong(1_000, 5_000)) { world.store.load?.slowFactor = 1.0 }
    }

    private fun loseOwner(world: JobWorld) {
        val owner = world.entries.firstOrNull { it.scheduler != null } ?: return
        val durationMs = random.nextLong(500, 5_000)
        when (random.nextInt(4)) {
            0 -> stop(world, owner) { owner.kill() }
            1 -> owner.loop.frozenUntilMs = world.time.nowMs + durationMs
            2 -> {
                owner.setIsolated(true)
                after(world, durationMs) { owner.setIsolated(false) }
            }
            else -> stop(world, owner) { owner.shutDown() }
        }
    }

    private fun stopInTurn(
        world: JobWorld,
        startMs: Long,
    ) = repeat(random.nextInt(1, entryCount)) { number ->
        val entry = world.entries[(number + seed) % entryCount]
        after(world, startMs + number * TURN_MS) { if (entry.isUp) stop(world, entry) { entry.shutDown() } }
    }

    private fun stop(
        world: JobWorld,
        entry: SimEntry,
        action: () -> Unit,
    ) {
        action()
        after(world, random.nextLong(2_000, 5_000)) { if (!entry.isUp) entry.boot() }
    }

    private fun takeDown(
        world: JobWorld,
        startMs: Long,
    ) {
        val durationMs = random.nextLong(500, 3_000)
        val cutOff = if (random.nextBoolean()) world.entries.shuffled(random).take(entryCount / 2) else null
        after(world, startMs) {
            turnsEntriesAway = true
            if (cutOff == null) world.store.isDown = true else cutOff.forEach { it.isPartitionedFromStore = true }
        }
        after(world, startMs + durationMs) {
            turnsEntriesAway = false
            world.store.isDown = false
            cutOff?.forEach { it.isPartitionedFromStore = false }
        }
    }

    /** Runs [action]; the history is not over before. */
    private fun after(
        world: JobWorld,
        delayMs: Long,
        action: () -> Unit,
    ) {
        faultsOverAtMs = maxOf(faultsOverAtMs, world.time.nowMs + delayMs)
        world.time.after(delayMs, action)
    }

    private fun onCommitSent(
        world: JobWorld,
        change: RowChange,
    ) {
        val row = change.puts[OwnerRow.KEY]?.let { OwnerRow.decode(it) } ?: return
        if (row.holder.isEmpty() || row.heartbeat != 1L) return
        val nowMs = world.time.nowMs
        claimCount++
        if (nowMs - firstClaimsMs.getOrPut(change.expected.getValue(OwnerRow.KEY)) { nowMs } < SECOND_MS) return
        laterClaimsMs.add(nowMs)
        mostClaimsPerS = maxOf(mostClaimsPerS, laterClaimsMs.count { it > nowMs - SECOND_MS })
    }

    private fun watch(world: JobWorld) {
        val nowMs = world.time.nowMs
        val isOwned = world.entries.any { it.scheduler?.canWrite == true && !it.isDisrupted }
        val isSound = world.store.isSound && !turnsEntriesAway
        if (isSound && (world.store.load?.partExcessMs ?: 0) > 0) behindMs += WATCH_MS
        if (!isSound || nowMs <= faultsOverAtMs) soundAtMs = nowMs + (world.store.load?.partExcessMs ?: 0)
        if (!isOwned && nowMs <= soundAtMs) {
            wasOwnedAtReturn = false
            takenAtMs = null
        } else if (isOwned) {
            if (nowMs <= soundAtMs) wasOwnedAtReturn = true
            takenAtMs = takenAtMs ?: nowMs
        }
        watchVacancy(nowMs, isOwned, isSound && nowMs >= soundAtMs)
        world.time.after(WATCH_MS) { watch(world) }
    }

    private fun watchVacancy(
        nowMs: Long,
        isOwned: Boolean,
        isSound: Boolean,
    ) {
        if (!isOwned && isSound) {
            val sinceMs = soundWithoutOwnerSinceMs ?: nowMs.also { soundWithoutOwnerSinceMs = it }
            longestSoundWithoutOwnerMs = maxOf(longestSoundWithoutOwnerMs, nowMs - sinceMs)
        } else {
            soundWithoutOwnerSinceMs = null
        }
    }

    private companion object {
        const val SECOND_MS = 1_000L
        const val WATCH_MS = 10L

        /** Until the last faults begin. */
        const val CALLERS_MS = 12_000L

        /** Time from one entry's stop to the next. */
        const val TURN_MS = 1_100L
    }
}

/** Rates for six entries in proportion to a site of hundreds: 300 transactions a second for 300 entries are one for each. */
internal fun stormRates(countsRefused: Boolean): StoreRates =
    StoreRates(readsPerS = 300, writesPerS = 120, partWritesPerS = 60, countsRefused = countsRefused)
