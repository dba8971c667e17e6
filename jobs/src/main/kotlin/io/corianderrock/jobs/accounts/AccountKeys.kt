/*
 * The keys of all client accounts of one configuration, by digest.
 */
package io.corianderrock.jobs.accounts

import io.corianderrock.jobs.state.ClientAccount
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Immutable. A key that several accounts hold belongs to none of them. */
internal class AccountKeys(
    accounts: Collection<ClientAccount>,
) {
    private class Entry(
        val digest: ByteArray,
        val holders: List<String>,
    )

    private val entriesByPrefix: Map<Long, List<Entry>>

    /** The names of the accounts that share a key, once for each such group. */
    val conflicts: Set<List<String>>

    init {
        val holders = HashMap<String, MutableList<String>>()
        for (account in accounts) for (digest in account.keyDigests) holders.getOrPut(digest.lowercase()) { ArrayList() }.add(account.name)
        val entries = holders.mapNotNull { (digest, names) -> decodeDigest(digest)?.let { Entry(it, names.distinct().sorted()) } }
        entriesByPrefix = entries.groupBy { prefixOf(it.digest) }
        conflicts = entries.map { it.holders }.filterTo(LinkedHashSet()) { it.size > 1 }
    }

    /**
     * Returns the names of the accounts that hold the key with [digest]. The time taken tells at most the first bytes of a digest,
     * which a caller cannot choose without knowing the key: the rest is compared in constant time, also when no key has this prefix.
     */
    fun holdersOf(digest: ByteArray): List<String> {
        var holders = emptyList<String>()
        for (entry in entriesByPrefix[prefixOf(digest)] ?: NO_ENTRY) {
            if (MessageDigest.isEqual(entry.digest, digest)) {
                holders =
                    entry.holders
            }
        }
        return holders
    }

    private fun prefixOf(digest: ByteArray): Long = ByteBuffer.wrap(digest).getLong()

    private companion object {
        /** Compared in place of a key when none has the prefix. Its holders are empty, so that a match would give nothing. */
        val NO_ENTRY = listOf(Entry(ByteArray(digestOf(ByteArray(0)).size), emptyList()))
    }
}
