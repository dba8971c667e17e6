/*
 * How a pool is divided between client accounts, as reported to operators.
 */
package io.corianderrock.jobs.placement

/** What one account holds of a pool in which it has running or waiting tasks. */
internal data class AccountShare(
    /** Null stands for the jobs of public routes, which share as one account. */
    val account: String?,
    val runCount: Long,
    /** Tasks that wait although the steps before theirs have ended. */
    val waitingCount: Int,
    /** Dominant share of the pool: the largest share of its capacity in any dimension. */
    val share: Double,
    /** Part of the weights of all accounts that have running or waiting tasks in the pool. */
    val entitledShare: Double,
)

/** Reports who holds a pool. */
internal fun interface PoolShares {
    /**
     * The accounts with running or waiting tasks in [pool], by descending share over weight. Empty without accounts, or while
     * the pool has no listed worker. Walks through all live jobs of the pool, so it is to be called only when a line is due.
     */
    fun sharesIn(pool: String): List<AccountShare>
}

/** Rounds a share for log lines. */
internal fun roundedShare(share: Double): Double = Math.round(share * SHARE_ROUNDING) / SHARE_ROUNDING

private const val SHARE_ROUNDING = 1_000.0
