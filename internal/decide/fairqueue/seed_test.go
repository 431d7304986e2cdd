package fairqueue

import _ "hemlockquay/internal/fixedseed"
