/*
 * Cancellations that another entry stores while it cannot reach the owner. The owner learns of them from the inbox, and the caller has its
 * answer before: guards against tasks that start, or run on, when a read of the owner fails in between (UNASKED).
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.InboxOfOneOwner.Companion.JOB
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.runs.InboxMessage
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

/** The time after its acknowledgement within which a cancellation takes effect, with that of a stop. */
private const val CANCELLED_WITHIN_MS = 3_200L
private const val REFUSED_FOR_MS = 2_800L
private const val LONG_MS = 20_000L

internal class StoredCancellationTest :
    DescribeSpec({
        describe("a cancellation that another entry has stored") {
            // Guards against a cancellation through the inbox that takes effect later than callers are promised.
            it("stops the running tasks of its job within 3.2 s, also if one read of the inbox fails") {
                for (atMs in 0L..1_000L step 100) {
                    val owner = InboxOfOneOwner()
                    owner.storeElsewhere(JOB)
                    owner.pass(2_000 + atMs)
                    owner.running.size shouldBe 2
                    owner.cancelElsewhere(JOB)
                    var refusals = 1
                    owner.refusesScan = { it == Table.INBOX && refusals-- > 0 }
                    owner.pass(CANCELLED_WITHIN_MS)
                    owner.running.keys.shouldBeEmpty()
                }
            }
        }
        describe("a cancellation that another entry stores while the inbox cannot be read") {
            // Guards against an owner that waits for its next regular read although the last one has failed.
            it("stops the running tasks of its job within 3.2 s if the inbox can be read again after 2.8 s") {
                for (atMs in 0L..1_000L step 100) {
                    val owner = InboxOfOneOwner()
                    owner.storeElsewhere(JOB)
                    owner.pass(2_000 + atMs)
                    owner.refusesScan = { it == Table.INBOX }
                    owner.cancelElsewhere(JOB)
                    owner.pass(REFUSED_FOR_MS)
                    owner.running.size shouldBe 2
                    owner.refusesScan = { false }
                    owner.pass(CANCELLED_WITHIN_MS - REFUSED_FOR_MS)
                    owner.running.keys.shouldBeEmpty()
                }
            }
        }
        describe("a job that another entry has stored and cancelled before the owner knows it") {
            // Guards against a job that is loaded for its submission while the read for its cancellation fails.
            it("does not start if the owner's second read of it fails") {
                val owner = InboxOfOneOwner()
                owner.pass(100)
                owner.storeElsewhere(JOB)
                owner.pass(20)
                owner.cancelElsewhere(JOB)
                var reads = 0
                owner.refusesRead = { it.table == Table.JOBS && ++reads > 1 }
                owner.pass(1_500)
                owner.refusesScan = { it == Table.INBOX }
                owner.pass(LONG_MS)
                owner.startsAtMs.shouldBeEmpty()
            }

            // Guards against a cancellation that was read and dropped, and a job that becomes known by a later submission.
            it("does not start if the owner could not read it and learns of it from its caller") {
                val owner = InboxOfOneOwner()
                owner.pass(100)
                owner.storeElsewhere(JOB)
                owner.pass(20)
                owner.cancelElsewhere(JOB)
                owner.refusesRead = { it.table == Table.JOBS }
                owner.pass(1_500)
                owner.refusesScan = { it == Table.INBOX }
                owner.scheduler.submit(JOB) {}
                owner.pass(LONG_MS)
                owner.startsAtMs.shouldBeEmpty()
            }
        }
        describe("a cancellation that is stored while a new owner loads the jobs") {
            // Guards against an inbox that counts as read when the jobs are loaded, however long ago it was read.
            it("keeps the job from starting if the inbox was read before and cannot be read again") {
                val owner = InboxOfOneOwner(hadEarlierOwner = true, storedBefore = listOf(JOB)) { it == Table.JOBS }
                owner.pass(20)
                owner.refusesScan = { it == Table.JOBS || it == Table.INBOX }
                owner.cancelElsewhere(JOB)
                owner.pass(CANCELLED_WITHIN_MS)
                owner.refusesScan = { it == Table.INBOX }
                owner.pass(LONG_MS)
                owner.startsAtMs.shouldBeEmpty()
            }
        }
        describe("a message about a job that is not stored any more") {
            // Guards against messages that the owner reads, with a read of their jobs, every second for good.
            it("is deleted") {
                val owner = InboxOfOneOwner()
                val key = InboxMessage("gone", isCancel = true).key
                owner.put(key, "1")
                owner.pass(LONG_MS)
                owner.isStored(key) shouldBe false
                owner.readCount shouldBeLessThanOrEqual 2
            }
        }
    })
