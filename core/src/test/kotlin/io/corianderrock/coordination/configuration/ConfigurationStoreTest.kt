package io.corianderrock.coordination.configuration

import io.corianderrock.coordination.FaultyPlatform
import io.corianderrock.coordination.MemoryPlatform
import io.corianderrock.coordination.Platform
import io.corianderrock.coordination.PlatformFault
import io.corianderrock.coordination.record.AuditRecord
import io.corianderrock.coordination.record.verifyRecord
import io.corianderrock.coordination.valueOrNull
import io.corianderrock.state.Declarations
import io.corianderrock.state.PoolSpec
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random

private fun declarations(workers: Int) = Declarations(pools = listOf(PoolSpec("pool", workers)))

private fun submission(
    id: String,
    base: Long,
    workers: Int,
    author: String = "operator",
) = Submission(id, author, base, declarations(workers), atMs = 0)

private fun storeOn(platform: Platform) = ConfigurationStore(platform, AuditRecord(platform))

class ConfigurationStoreTest :
    DescribeSpec({
        describe("a first submission") {
            it("is published as version 1 and can be loaded") {
                val store = storeOn(MemoryPlatform())

                val accepted = store.submit(submission("a", 0, 1)).shouldBeInstanceOf<SubmitResult.Accepted>()

                accepted.pointer.version shouldBe 1
                store.load(accepted.pointer).valueOrNull()?.declarations shouldBe declarations(1)
            }
        }

        describe("two operators who submit from the same version") {
            it("publishes the first and returns it to the second as superseding") {
                val store = storeOn(MemoryPlatform())
                store.submit(submission("a", 0, 1, author = "first"))

                val lost = store.submit(submission("b", 0, 2, author = "second")).shouldBeInstanceOf<SubmitResult.Superseded>()

                lost.winner.author shouldBe "first"
            }
        }

        describe("the same change id submitted again") {
            it("is applied once, even after later changes") {
                val platform = MemoryPlatform()
                val store = storeOn(platform)
                store.submit(submission("a", 0, 1))
                store.submit(submission("b", 1, 2))

                val again = store.submit(submission("a", 0, 1)).shouldBeInstanceOf<SubmitResult.Accepted>()

                again.pointer.version shouldBe 1
                store.readPointer().valueOrNull()?.version shouldBe 2
            }
        }

        describe("equal declarations under a new change id") {
            it("change nothing") {
                val store = storeOn(MemoryPlatform())
                store.submit(submission("a", 0, 1))

                store.submit(submission("b", 1, 1)).shouldBeInstanceOf<SubmitResult.Unchanged>()
            }
        }

        describe("random lost answers and outages") {
            for (seed in 1..40) {
                it("publish each accepted change once, with an unbroken record (seed $seed)") {
                    val random = Random(seed)
                    val memory = MemoryPlatform()
                    val platform =
                        FaultyPlatform(memory) {
                            when (random.nextInt(10)) {
                                0 -> PlatformFault.DOWN
                                1 -> PlatformFault.ANSWER_LOST
                                else -> PlatformFault.NONE
                            }
                        }
                    val faulty = storeOn(platform)
                    val truth = storeOn(memory)
                    var version = 0L
                    repeat(30) { step ->
                        submitUntilResolved(faulty, submission("change-$step", version, step + 1))
                        val now = checkNotNull(truth.readPointer().valueOrNull()).version
                        now shouldBe version + 1
                        version = now
                    }
                    val record = checkNotNull(AuditRecord(memory).readAll().valueOrNull())
                    record.entries.size shouldBe 30
                    verifyRecord(record.entries, record.head).shouldBeEmpty()
                }
            }
        }
    })

private fun submitUntilResolved(
    store: ConfigurationStore,
    submission: Submission,
) {
    repeat(100) {
        val result = store.submit(submission)
        if (result is SubmitResult.Accepted) return
    }
    error("not resolved after 100 submissions of ${submission.changeId}")
}
