#ifndef CORE_SANITIZERBUILD_H
#define CORE_SANITIZERBUILD_H

namespace lacewing {

/** Whether a sanitizer handles fatal signals in this build. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kSanitizerBuild = true;
#else
constexpr bool kSanitizerBuild = false;
#endif

} // namespace lacewing

#endif // CORE_SANITIZERBUILD_H
