/*
 * Calls to the store as the budget and the metrics see them: by what they are for, and how they ended.
 */
package io.corianderrock.jobs.storerate

import io.corianderrock.jobs.ports.StoreRefusal
import io.corianderrock.jobs.ports.Table

/** What a call is for. Calls that wait are sent in this order. */
public enum class StoreCallClass(
    public val label: String,
) {
    /** The owner row. Each transaction of the owner rewrites it and carries its other rows along. */
    OWNERSHIP("ownership"),

    /** Leases of workers and orders to instances. */
    LEASES("leases"),

    /** Jobs, their progress and the inbox, as the owner reads them. */
    JOB_STATE("job_state"),

    /** Listed workers, waves and demand. */
    FLEET("fleet"),

    /** The configuration and recorded run times. */
    OTHER("other"),

    /** Reads and writes on behalf of callers, around the owner. They alone grow with what callers send. */
    CALLERS("callers"),
    ;

    internal companion object {
        fun of(table: Table): StoreCallClass =
            when (table) {
                Table.OWNERS -> OWNERSHIP
                Table.WORKER_LEASES, Table.INSTANCE_ORDERS -> LEASES
                Table.JOBS, Table.PROGRESS, Table.INBOX, Table.EARLY_CANCELLATIONS -> JOB_STATE
                Table.WAVES, Table.DEMAND_PEAKS -> FLEET
                Table.RUN_TIMES -> OTHER
            }
    }
}

/** The store limits reads and writes apart. */
public enum class StoreCallKind(
    public val label: String,
) {
    READ("read"),
    WRITE("write"),
}

/** One call to the store. [isTimed] is false for calls whose duration says nothing about the store: long polls and whole tables. */
public data class StoreCall(
    val callClass: StoreCallClass,
    val kind: StoreCallKind,
    val isTimed: Boolean = true,
)

/** How a call ended. */
public sealed interface StoreCallEnd {
    /** Label of the metric. */
    public val label: String

    /** The store carried the call out or found its condition unmet. */
    public data object Answered : StoreCallEnd {
        override val label: String get() = "answered"
    }

    /** The store refused the call for its load. */
    public data class Refused(
        val refusal: StoreRefusal,
    ) : StoreCallEnd {
        override val label: String get() = "refused"
    }

    /** No usable answer; the call may have been carried out. */
    public data object Unanswered : StoreCallEnd {
        override val label: String get() = "unanswered"
    }

    /** A write that had ended as [Unanswered] was found carried out by a read. */
    public data object ReadBack : StoreCallEnd {
        override val label: String get() = "read_back"
    }

    /** The call was not sent. */
    public data object Withheld : StoreCallEnd {
        override val label: String get() = "withheld"
    }
}

/** Counts calls to the store. Called on the event loop. */
public fun interface StoreCallCounter {
    /** Counts a call that has ended. */
    public fun count(
        call: StoreCall,
        end: StoreCallEnd,
    )
}

/** Decides when calls to the store are sent. */
public interface StoreGate {
    /**
     * Calls [send] once [call] may be sent, at once or later, or else [withhold]: then nothing was sent. [send] reports the end of
     * the call to the function that it gets, and that of a write that ends as [StoreCallEnd.Unanswered] once more if a read shows it
     * carried out. On the event loop.
     */
    public fun pass(
        call: StoreCall,
        withhold: (StoreRefusal) -> Unit,
        send: (onEnd: (StoreCallEnd) -> Unit) -> Unit,
    )
}
