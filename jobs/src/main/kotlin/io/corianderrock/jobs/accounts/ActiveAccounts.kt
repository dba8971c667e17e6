/*
 * The client accounts that are in force. The configuration changes at run time, and for some time after a change other parts
 * of the system may still act by the version before.
 */
package io.corianderrock.jobs.accounts

import io.corianderrock.jobs.ports.EventLoop
import io.corianderrock.jobs.state.ClientAccount
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobsConfiguration

/** Follows [configuration]. [applyMs] is the time within which all entries apply a version once it was acknowledged. */
internal class ActiveAccounts(
    private val loop: EventLoop,
    private val configuration: () -> JobsConfiguration?,
    applyMs: Long,
) {
    private class FormerVersion(
        val accounts: Map<String, ClientAccount>,
        val untilMs: Long,
    )

    // The bound starts at the acknowledgement, of which this entry learns later: half of the bound is left for that delay.
    private val formerCapMs = applyMs / 2
    private var currentConfiguration: JobsConfiguration? = null
    private val formerVersions = ArrayDeque<FormerVersion>()

    /** Accounts that were removed while this entry was the owner: their accepted jobs continue under their last terms. */
    private val removed = LinkedHashMap<String, ClientAccount>()

    private val current: Map<String, ClientAccount> get() = currentConfiguration?.accounts.orEmpty()

    /** False where the deployment has no accounts, so that none of their rules applies. */
    val areInForce: Boolean get() = currentConfiguration?.accounts != null

    /** Weight of the jobs of public routes, which belong to no account, and of accounts that this entry never knew. */
    var meanWeight = 1.0
        private set

    val names: Set<String> get() = current.keys

    /** Takes over the present configuration. To be called before each decision or batch of decisions. */
    fun refresh() {
        val next = configuration()
        while (formerVersions.isNotEmpty() && formerVersions.first().untilMs <= loop.nowMs) formerVersions.removeFirst()
        if (next === currentConfiguration) return
        if (currentConfiguration != null) formerVersions.addLast(FormerVersion(current, loop.nowMs + formerCapMs))
        for ((name, account) in current) if (next?.accounts?.containsKey(name) != true) removed[name] = account
        next?.accounts?.keys?.let(removed.keys::removeAll)
        while (removed.size > MAX_REMOVED) removed.remove(removed.keys.first())
        currentConfiguration = next
        meanWeight = if (current.isEmpty()) 1.0 else current.values.sumOf { it.weight } / current.size
    }

    /** The account [name] by its newest terms, or null if this entry never knew it. */
    fun find(name: String): ClientAccount? = current[name] ?: removed[name]

    fun weightOf(name: String?): Double = maxOf(MIN_WEIGHT, name?.let(::find)?.weight ?: meanWeight)

    /** The highest cap of the account [name] in the versions that may be in force; null if none of them has the account. */
    fun capOf(name: String): Demand? {
        var cap = find(name)?.cap
        for (version in formerVersions) {
            val former = version.accounts[name]?.cap ?: continue
            cap = cap?.let { higher(it, former) } ?: former
        }
        return cap
    }

    private fun higher(
        one: Demand,
        other: Demand,
    ): Demand =
        Demand(
            higher(one.cpuMilli, other.cpuMilli),
            higher(one.memoryMb, other.memoryMb),
            higher(one.gpuCount, other.gpuCount),
        )

    /** Zero means no limit. */
    private fun higher(
        one: Int,
        other: Int,
    ): Int = if (one == 0 || other == 0) 0 else maxOf(one, other)

    private companion object {
        /** Lower bound on weights, by which shares are divided. */
        const val MIN_WEIGHT = 1e-6

        /** Bounds the memory for removed accounts; above the number of accounts of any deployment. */
        const val MAX_REMOVED = 1_000
    }
}
