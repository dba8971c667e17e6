/*
 * Faults of the platform stand-in, set through its control endpoint.
 */
package io.corianderrock.standins.platform

import kotlinx.serialization.Serializable

/** What goes wrong. Every n-th answer of a write is lost after its effect when [loseEveryNthAnswer] is above 0. */
@Serializable
public data class PlatformFaults(
    val isDown: Boolean = false,
    val delayMs: Long = 0,
    val loseEveryNthAnswer: Int = 0,
    val isListStale: Boolean = false,
)
