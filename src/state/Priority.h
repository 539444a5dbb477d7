#ifndef FIGTURN_STATE_PRIORITY_H
#define FIGTURN_STATE_PRIORITY_H

/** Priority classes of requests and calls. */

namespace figturn {

/** Urgent requests precede ordinary ones in every queue. */
enum class Priority { Urgent, Ordinary };

} // namespace figturn

#endif // FIGTURN_STATE_PRIORITY_H
