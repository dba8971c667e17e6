/*
 * Decides which client account a call belongs to, by the key in its Authorization header.
 */
package io.corianderrock.jobs.accounts

import io.corianderrock.jobs.state.ClientAccount

/** Why a call has no valid key. [label] is used in metrics and logs. */
public enum class KeyRefusal(
    public val label: String,
) {
    MISSING("missing"),
    DUPLICATED("duplicated"),
    MALFORMED("malformed"),
    UNKNOWN("unknown"),

    /** Several accounts hold the key. */
    AMBIGUOUS("ambiguous"),
}

/** The decision about a call. */
public sealed interface CallDecision {
    /** The call is admitted with [access]. */
    public data class Admitted(
        val access: JobAccess,
    ) : CallDecision

    /** The call needs a key and has no valid one. */
    public data class Unauthorized(
        val refusal: KeyRefusal,
    ) : CallDecision

    /** The call needs a key, but the configuration was not confirmed for so long that the key may have been removed. */
    public data object Unconfirmed : CallDecision
}

/** The rule for one version of the configuration, whose [accounts] are null where the deployment has none. Thread-safe. */
public class CallAccounts(
    accounts: Map<String, ClientAccount>?,
) {
    private val keys: AccountKeys? = accounts?.let { AccountKeys(it.values) }

    /** The names of the accounts that share a key, once for each such group. */
    public val conflicts: Set<List<String>> get() = keys?.conflicts.orEmpty()

    /**
     * Decides about a call with the [authorization] headers on a route that [isPublic] or not. [mayTrustKeys] is false while keys
     * may have been removed without this entry knowing.
     */
    public fun decide(
        isPublic: Boolean,
        authorization: List<String?>,
        mayTrustKeys: Boolean = true,
    ): CallDecision =
        when {
            keys == null -> CallDecision.Admitted(JobAccess.ALL)
            isPublic -> CallDecision.Admitted(JobAccess.PUBLIC)
            !mayTrustKeys -> CallDecision.Unconfirmed
            authorization.isEmpty() -> CallDecision.Unauthorized(KeyRefusal.MISSING)
            authorization.size > 1 -> CallDecision.Unauthorized(KeyRefusal.DUPLICATED)
            else -> decideByKey(keys, authorization.single().orEmpty())
        }

    private fun decideByKey(
        keys: AccountKeys,
        header: String,
    ): CallDecision {
        if (header.isBlank()) return CallDecision.Unauthorized(KeyRefusal.MISSING)
        val key = bearerKey(header) ?: return CallDecision.Unauthorized(KeyRefusal.MALFORMED)
        val holders = keys.holdersOf(digestOf(key.toByteArray(Charsets.ISO_8859_1)))
        return when (holders.size) {
            0 -> CallDecision.Unauthorized(KeyRefusal.UNKNOWN)
            1 -> CallDecision.Admitted(JobAccess(holders.single()))
            else -> CallDecision.Unauthorized(KeyRefusal.AMBIGUOUS)
        }
    }

    private companion object {
        const val SCHEME = "Bearer"
        const val LAST_BYTE = '\u00ff'

        /**
         * Returns the key of a Bearer [header]; null if it has another form. The server decodes each byte of a header as one
         * character, so that characters beyond a byte cannot come from a caller.
         */
        fun bearerKey(header: String): String? {
            val trimmed = header.trim(' ', '\t')
            if (!trimmed.regionMatches(0, SCHEME, 0, SCHEME.length, ignoreCase = true)) return null
            val key = trimmed.substring(SCHEME.length)
            if (!key.startsWith(' ')) return null
            return key.trimStart(' ').takeIf { it.isNotEmpty() && it.all { char -> char <= LAST_BYTE } }
        }
    }
}
