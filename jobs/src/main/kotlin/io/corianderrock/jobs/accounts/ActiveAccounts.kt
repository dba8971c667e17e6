/*
 * The client accounts that are in force. The configuration changes at run time.
 */
package io.corianderrock.jobs.accounts

import io.corianderrock.jobs.state.ClientAccount
import io.corianderrock.jobs.state.Demand
import io.corianderrock.jobs.state.JobsConfiguration

/** Follows [configuration]. */
internal class ActiveAccounts(
    private val configuration: () -> JobsConfiguration?,
) {
    private var currentConfiguration: JobsConfiguration? = null

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
        if (next === currentConfiguration) return
        for ((name, account) in current) if (next?.accounts?.containsKey(name) != true) removed[name] = account
        next?.accounts?.keys?.let(removed.keys::removeAll)
        while (removed.size > MAX_REMOVED) removed.remove(removed.keys.first())
        currentConfiguration = next
        meanWeight = if (current.isEmpty()) 1.0 else current.values.sumOf { it.weight } / current.size
    }

    /** The account [name] by its newest terms, or null if this entry never knew it. */
    fun find(name: String): ClientAccount? = current[name] ?: removed[name]

    fun weightOf(name: String?): Double = maxOf(MIN_WEIGHT, name?.let(::find)?.weight ?: meanWeight)

    /**
     * The cap of the account [name], or null if this entry never knew it. A lower cap counts at once: an entry cannot tell how
     * long ago the version was acknowledged of which it learns, such as after a freeze, so the cap before may not be in force any
     * more. Only while it is could the higher one be used.
     */
    fun capOf(name: String): Demand? = find(name)?.cap

    private companion object {
        /** Lower bound on weights, by which shares are divided. */
        const val MIN_WEIGHT = 1e-6

        /** Bounds the memory for removed accounts; above the number of accounts of any deployment. */
        const val MAX_REMOVED = 1_000
    }
}
