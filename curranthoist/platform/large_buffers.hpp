#pragma once

#include <malloc.h>

namespace curranthoist::platform {

// Makes the allocator return every large buffer to the system as soon as it is freed, so
// that a process holds no more than its accounts count. By default glibc raises the
// threshold with each large buffer that is freed and keeps the later ones in its heap,
// where small blocks between them hold their pages.
inline void return_large_buffers()
{
    constexpr int threshold_bytes = 64 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, threshold_bytes);
}

} // namespace curranthoist::platform
