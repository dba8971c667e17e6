package io.corianderrock.coordination

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

class ExactlyOnceTransactionTest :
    DescribeSpec({
        val increment = Transaction("increment-1", listOf(Precondition("counter", 0)), listOf(Write("counter", "1")))

        describe("a transaction whose answer is lost") {
            it("is reported as committed, and commits once") {
                val memory = MemoryPlatform()
                val faults = ArrayDeque(listOf(PlatformFault.ANSWER_LOST))
                val platform = FaultyPlatform(memory) { faults.removeFirstOrNull() ?: PlatformFault.NONE }

                platform.transactExactlyOnce(increment).shouldBeInstanceOf<PlatformResult.Ok<Long>>()
                memory.read("counter").valueOrNull()?.revision shouldBe 1
            }

            it("may have applied if the marker cannot be read") {
                val platform = FaultyPlatform { step -> if (step == "transact") PlatformFault.ANSWER_LOST else PlatformFault.DOWN }

                val result = platform.transactExactlyOnce(increment)

                result.shouldBeInstanceOf<PlatformResult.Failed>().mayHaveApplied shouldBe true
            }
        }

        describe("a transaction against a platform that is down") {
            it("is reported as not applied") {
                val result = FaultyPlatform { PlatformFault.DOWN }.transactExactlyOnce(increment)

                result.shouldBeInstanceOf<PlatformResult.Failed>().mayHaveApplied shouldBe false
            }
        }

        describe("a transaction whose precondition does not hold") {
            it("is a conflict that names the row and its revision") {
                val platform = MemoryPlatform()
                platform.transact(Transaction("other", emptyList(), listOf(Write("counter", "7"))))

                platform.transactExactlyOnce(increment) shouldBe PlatformResult.Conflict("counter", 1)
            }
        }
    })
