package retry

import _ "hemlockquay/internal/fixedseed"
