/*
 * The exit codes of the command line; scripts depend on their numbers.
 */
package io.corianderrock.cli

/** The result of a command as its process exit code. */
public enum class ExitCode(
    public val code: Int,
) {
    /** The command succeeded. */
    OK(0),

    /** The input is invalid; every problem is printed. */
    INVALID(1),

    /** The command line is incomplete or cannot be parsed. */
    USAGE(2),

    /** Another change was committed first, or the request conflicts with the state of the fleet. */
    CONFLICT(3),

    /** The daemon or the platform did not answer; nothing is known to have changed. */
    UNREACHABLE(4),

    /** A comparison found a difference, a verification found a defect, or a wave ended without finishing. */
    DIFFERENT(5),

    /** The change may or may not be committed; run the same command again with the same change id. */
    UNKNOWN(6),
}
