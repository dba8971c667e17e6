/*
 * The exit codes of the command line.
 */
package io.corianderrock.cli

/** What a command's end means to a script. */
public enum class ExitCode(
    public val code: Int,
) {
    /** The command did what it was asked. */
    OK(0),

    /** The input is invalid; every problem was printed. */
    INVALID(1),

    /** The command line is wrong. */
    USAGE(2),

    /** Another change came first, or the request conflicts with the state of the fleet. */
    CONFLICT(3),

    /** The daemon or the platform did not answer; nothing is known to have changed. */
    UNREACHABLE(4),

    /** A check found a difference or a defect. */
    DIFFERENT(5),

    /** The outcome of a change is not known; run the same command again with the same change id. */
    UNKNOWN(6),
}
