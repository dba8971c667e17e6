/*
 * A platform whose calls fail before or after taking effect, as the test chooses for each call.
 */
package io.corianderrock.coordination

internal enum class PlatformFault { NONE, DOWN, ANSWER_LOST }

internal class FaultyPlatform(
    private val inner: MemoryPlatform = MemoryPlatform(),
    private val nextFault: (String) -> PlatformFault,
) : Platform {
    override fun read(key: String) = faulty("read") { inner.read(key) }

    override fun scan(
        prefix: String,
        sinceRevision: Long,
    ) = faulty("scan") { inner.scan(prefix, sinceRevision) }

    override fun transact(transaction: Transaction) = faulty("transact") { inner.transact(transaction) }

    override fun putIfAbsent(
        key: String,
        content: String,
    ) = faulty("put") { inner.putIfAbsent(key, content) }

    override fun fetch(key: String) = faulty("fetch") { inner.fetch(key) }

    override fun instances(sinceRevision: Long) = faulty("list") { inner.instances(sinceRevision) }

    override fun reboot(
        instanceId: String,
        requestId: String,
    ) = faulty("reboot") { inner.reboot(instanceId, requestId) }

    private fun <T> faulty(
        step: String,
        call: () -> PlatformResult<T>,
    ): PlatformResult<T> =
        when (nextFault(step)) {
            PlatformFault.NONE -> call()
            PlatformFault.DOWN -> PlatformResult.Failed(step, "fake", "down", mayHaveApplied = false)
            PlatformFault.ANSWER_LOST -> {
                call()
                PlatformResult.Failed(step, "fake", "answer lost", mayHaveApplied = true)
            }
        }
}
