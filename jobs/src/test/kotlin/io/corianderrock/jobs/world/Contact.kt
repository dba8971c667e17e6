/*
 * Which machines are in touch. The rules with a time bound hold for entries and workers that were without disruption for a while, beside
 * a store that was.
 */
package io.corianderrock.jobs.world

/** Records the last disruption of each entry, each worker and the store. */
internal class Contact(
    private val time: SimTime,
) {
    private val disruptedAtMs = HashMap<String, Long>()

    /** Records that [party], an entry, a worker or [STORE], is disrupted now. */
    fun onDisrupted(party: String) {
        disruptedAtMs[party] = time.nowMs
    }

    /** Time since which all [parties] and the store are in touch; it lies ahead if one of them is not yet. */
    fun inTouchSinceMs(parties: Collection<String>): Long = maxOf(inTouchSinceMs(STORE), parties.maxOfOrNull { inTouchSinceMs(it) } ?: 0)

    /** Time since which all parties are in touch; it lies ahead if one of them is not yet. */
    val allInTouchSinceMs: Long get() = disruptedAtMs.values.maxOrNull()?.plus(CONTACT_MS) ?: 0

    private fun inTouchSinceMs(party: String): Long = disruptedAtMs[party]?.plus(CONTACT_MS) ?: 0

    companion object {
        const val STORE = "store"

        /** Time without disruption after which a machine is in touch. */
        const val CONTACT_MS = 3_000L
    }
}
