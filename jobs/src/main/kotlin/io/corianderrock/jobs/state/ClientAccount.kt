/*
 * Client accounts: on whose behalf calls are made, and what each may use when capacity is short.
 */
package io.corianderrock.jobs.state

import kotlinx.serialization.Serializable

/** A client account of the configuration. */
@Serializable
public data class ClientAccount(
    val name: String,
    /** Share of the capacity while all accounts want more than there is, and the jobs a second that the account is owed. */
    val weight: Double = 1.0,
    /** Accounts with a lower number come first. */
    val priority: Int = 0,
    /** The most that the account's tasks may occupy over all pools; zero in a dimension means no limit. */
    val cap: Demand = Demand(),
    /** SHA-256 digests of the account's keys, in lower-case hexadecimal. */
    val keyDigests: Set<String> = emptySet(),
)
