/*
 * Which jobs a call may query and cancel.
 */
package io.corianderrock.jobs.accounts

import kotlinx.serialization.Serializable

/** The rights of a call that was admitted. */
@Serializable
public data class JobAccess(
    /** The client account that the call belongs to; null on a public route and without accounts. */
    val account: String? = null,
    /** True where no accounts are configured. */
    val reachesAllAccounts: Boolean = false,
) {
    /** True if the call may reach a job of [jobAccount], null for a job that belongs to no account. */
    public fun permits(jobAccount: String?): Boolean = reachesAllAccounts || jobAccount == null || jobAccount == account

    public companion object {
        /** Access of a call where no accounts are configured. */
        public val ALL: JobAccess = JobAccess(reachesAllAccounts = true)

        /** Access of a call on a public route. */
        public val PUBLIC: JobAccess = JobAccess()
    }
}
