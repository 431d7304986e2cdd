package idempotency

import _ "hemlockquay/internal/fixedseed"
