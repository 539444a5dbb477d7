#ifndef FIGTURN_STATE_PRIORITY_H
#define FIGTURN_STATE_PRIORITY_H

/** Priority classes of requests and calls. */

namespace figturn {

/** Urgent requests precede ordinary ones, but a queue may reserve a share for
 *  the latter. */
enum class Priority { Urgent, Ordinary };

} // namespace figturn

#endif // FIGTURN_STATE_PRIORITY_H
