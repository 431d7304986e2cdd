package slots

import _ "hemlockquay/internal/fixedseed"
