/*
 * What the store carries, as the platform tells it.
 */
package io.corianderrock.jobs.storerate

/**
 * Rates that all entries share. [partWritesPerS] is that of one part, in which all rows of jobs lie; [transactionMs] is how long a
 * transaction takes. The defaults are those of the smallest platform, for settings without rates.
 */
public data class StoreRates(
    val readsPerS: Double = 2_000.0,
    val writesPerS: Double = 600.0,
    val partWritesPerS: Double = 300.0,
    val transactionMs: Double = 3.0,
) {
    internal fun perS(kind: StoreCallKind): Double =
        when (kind) {
            StoreCallKind.READ -> readsPerS
            StoreCallKind.WRITE -> minOf(writesPerS, partWritesPerS)
        }
}
